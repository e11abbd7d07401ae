package io.tarragonport.standin.fleet

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.UserPlatformObjectStore
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a change that is lost because it falls between two pages of a listing. */
class PagedListingTest {
    private class Case(
        val title: String,
        val revisions: List<Long>,
        val expected: Long,
    )

    private fun page(
        number: Int,
        last: Boolean,
        revision: Long,
    ) = """{"items":[{"metadata":{"name":"s$number","revision":1,"created_rev":1},"spec":{}}],""" +
        """"has_more":${!last},"store_revision":$revision}"""

    @Test
    fun `changes are read from the revision of the first page`() =
        listOf(
            Case("one page", listOf(5), 5),
            Case("nothing changes between the pages", listOf(5, 5), 5),
            Case("an entry of the first page changes while the others are read", listOf(5, 6, 9), 5),
        ).forEach { case ->
            var pages = 0
            val server =
                ScriptedServer("store") { _, socket ->
                    val body = page(pages, pages == case.revisions.lastIndex, case.revisions[pages])
                    pages++
                    socket.getOutputStream().send("HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body")
                }
            server.use {
                PlatformHttp("http://${server.address}").use { http ->
                    val listing = runBlocking { UserPlatformObjectStore(http).list("servers/", true).getOrNull() }
                    assertEquals(ObjectVersion(case.expected), listing?.revision, case.title)
                    assertEquals(case.revisions.size, listing?.objects?.size, case.title)
                }
            }
        }
}
