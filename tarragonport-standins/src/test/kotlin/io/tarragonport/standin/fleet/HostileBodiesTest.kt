package io.tarragonport.standin.fleet

import java.net.Socket
import kotlin.test.Test

/** Guards against callers that use up the memory of a process with bodies, most of which stop just short of their end. */
class HostileBodiesTest {
    private class Case(
        val title: String,
        val path: String = "/post/a",
        val toReadiness: Boolean = false,
        val send: (Socket, String) -> Unit,
    )

    private fun head(
        path: String,
        framing: String,
    ) = "POST $path HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\nX-Request-Id: hostile-${System.nanoTime()}\r\n" +
        "X-Api-Key: ${FleetSamples.KEY}\r\n$framing\r\n\r\n"

    private fun whole(
        socket: Socket,
        path: String,
        bytes: Int = CrowdFixture.BODY_BYTES,
        piece: Int = bytes,
    ) {
        val output = socket.getOutputStream()
        output.write(head(path, "Content-Length: $bytes").toByteArray())
        var remaining = bytes - 1
        while (remaining > 0) {
            val size = minOf(piece, remaining)
            output.write(ByteArray(size))
            output.flush()
            remaining -= size
        }
    }

    private fun chunked(
        socket: Socket,
        path: String,
        bytes: Int = CrowdFixture.BODY_BYTES,
    ) {
        val output = socket.getOutputStream()
        output.write(head(path, "Transfer-Encoding: chunked").toByteArray())
        val chunk = "1000\r\n".toByteArray() + ByteArray(4_096) + "\r\n".toByteArray()
        repeat(bytes / 4_096 - 1) { output.write(chunk) }
        output.flush()
    }

    private val cases =
        listOf(
            Case("in one piece") { socket, path -> whole(socket, path) },
            Case("in small pieces") { socket, path -> whole(socket, path, piece = 1_024) },
            Case("in chunks") { socket, path -> chunked(socket, path) },
            Case("without a route", path = "/none/a") { socket, path -> whole(socket, path) },
            Case(
                "at the readiness address",
                path = "/readyz",
                toReadiness = true,
            ) { socket, path -> whole(socket, path) },
            Case("far over the limit") { socket, path -> whole(socket, path, 64 * CrowdFixture.BODY_BYTES, 65_536) },
            Case("chunks far over the limit") { socket, path -> chunked(socket, path, 16 * CrowdFixture.BODY_BYTES) },
        )

    @Test
    fun `bodies that stop just short of their end leave room for others`() =
        cases.forEach { case ->
            CrowdFixture().use { fixture ->
                val port = if (case.toReadiness) fixture.readinessPort else fixture.callerPort
                fixture.crowd(CROWD, port) { case.send(it, case.path) }
                fixture.check(case.title)
            }
        }

    private companion object {
        const val CROWD = 60
    }
}
