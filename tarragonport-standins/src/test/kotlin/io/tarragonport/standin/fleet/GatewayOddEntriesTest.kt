package io.tarragonport.standin.fleet

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import io.tarragonport.wire.ServerWire
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** An odd entry among those of the backend servers must not keep the gateway from using and following the others. */
class GatewayOddEntriesTest {
    private val fixture = GatewayFixture()

    /** Answers requests for odd entries that are accepted. */
    private val spare = ScriptedServer("spare") { call, socket -> respondOk(call, socket) }

    private data class Case(
        val title: String,
        val entry: String,
    )

    private val addresses =
        listOf("127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.256:80", "999.999.999.999:80")
            .map { Case("address $it", entry(it)) }

    private val nested =
        listOf(100, 1_000, 100_000).flatMap { levels ->
            listOf(
                Case("$levels lists", withField("[".repeat(levels) + "]".repeat(levels))),
                Case("$levels objects", withField("{\"a\":".repeat(levels) + "1" + "}".repeat(levels))),
                Case("no fields but $levels lists", "[".repeat(levels) + "]".repeat(levels)),
            )
        }

    private val numbers =
        listOf("slots", "born", "leaves_ms").flatMap { field ->
            listOf(
                "1e400",
                "99999999999999999999",
                "-9223372036854775808",
                "1e99999999999",
                "-1",
                "0.5",
                "null",
                "\"\"",
            ).map { Case("$field $it", withField(it, field)) }
        }

    @AfterEach
    fun close() {
        fixture.close()
        spare.close()
    }

    private fun entry(address: String) =
        WireJson.encodeToString(ServerWire.serializer(), FleetSamples.entry(FleetSamples.PLAIN, address))

    private fun withField(
        value: String,
        field: String = "extra",
    ): String =
        entry(spare.address).replace(Regex("\"$field\":-?\\d+,?"), "").dropLast(1).removeSuffix(",") +
            ",\"$field\":$value}"

    private val respondOk: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
    }

    /** Guards against entries to which no connection can be opened, and which failed in the middle of a dispatch. */
    @Test
    fun `servers are used although addresses out of range are listed`() = assertUsedWhenListed(addresses)

    @Test
    fun `servers are used although addresses out of range are registered`() = assertUsedAfterChange(addresses)

    /** Guards against entries that exhaust the stack of the thread that reads the list. */
    @Test
    fun `servers are used although deeply nested entries are listed`() = assertUsedWhenListed(nested)

    @Test
    fun `servers are used although deeply nested entries are registered`() = assertUsedAfterChange(nested)

    /** Guards against numbers that no number type holds. */
    @Test
    fun `servers are used although numbers out of range are listed`() = assertUsedWhenListed(numbers)

    @Test
    fun `servers are used although numbers out of range are registered`() = assertUsedAfterChange(numbers)

    private fun assertUsedWhenListed(cases: List<Case>) {
        fixture.store.configure(FleetSamples.configuration())
        cases.forEachIndexed { index, case -> fixture.store.registerText("odd-$index", case.entry) }
        fixture.startServer(FleetSamples.PLAIN, "sound", respondOk)
        fixture.start()
        repeat(REQUESTS) { assertEquals(200, fixture.send("/post/$it").statusCode()) }
    }

    private fun assertUsedAfterChange(cases: List<Case>) {
        fixture.store.configure(FleetSamples.configuration())
        var sound = fixture.startServer(FleetSamples.PLAIN, "sound", respondOk)
        fixture.start()
        cases.forEachIndexed { index, case ->
            fixture.store.registerText("odd", case.entry)
            val next = fixture.startServer(FleetSamples.PLAIN, "sound-$index", respondOk)
            fixture.store.unregister(sound.id)
            repeat(REQUESTS) { assertEquals(200, fixture.send("/post/$it").statusCode(), case.title) }
            fixture.store.unregister("odd")
            fixture.eventually("${case.title}: the next server is not used") {
                assertEquals(200, fixture.send("/post/a").statusCode(), case.title)
                next.received.isNotEmpty()
            }
            sound = next
        }
    }

    private companion object {
        const val REQUESTS = 10
    }
}
