package io.tarragonport.standin.fleet

import io.tarragonport.standin.fleet.ScriptedServer.Companion.send
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Faults of the store that no call reports: silent connections, lost answers and entries that lapse. */
class GatewayStoreFaultsTest {
    private val fixture = GatewayFixture()

    private val answering: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerAnswers.plain(call, "ok"))
    }

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `a change behind a silent watch is in force within the platform's bounds`() {
        fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.store.configure(FleetSamples.configuration())
        fixture.start()
        fixture.store.fault = StoreFault.SILENT_WATCHES
        Thread.sleep(SILENCE.inWholeMilliseconds)
        fixture.store.configure(FleetSamples.configuration(version = 2, keys = listOf("key-new")))
        fixture.store.fault = StoreFault.NONE
        val changed = TimeSource.Monotonic.markNow()
        fixture.eventually("the change is not in force") { fixture.send("/post/a").statusCode() == 401 }
        assertTrue(changed.elapsedNow() < STABLE + IN_FORCE, "${changed.elapsedNow()}")
    }

    @Test
    fun `lost answers of the store cause no second figure of a window`() {
        fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.store.configure(FleetSamples.configuration())
        fixture.start()
        val usage = { fixture.store.dutyCalls.filter { it.path == "/usage" } }
        fixture.eventually("no usage was reported") { usage().isNotEmpty() }
        fixture.store.fault = StoreFault.LOST_ANSWERS
        repeat(20) {
            fixture.send("/post/$it")
            Thread.sleep(150)
        }
        fixture.store.fault = StoreFault.NONE
        val before = usage().size
        fixture.eventually("no usage is reported after the fault") { usage().size > before + 2 }
        val figures = usage().groupBy({ it.window }, { it.body }).mapValues { it.value.toSet() }
        assertEquals(emptyMap(), figures.filterValues { it.size > 1 })
        val holders = usage().map { it.fencing }
        assertEquals(holders.sorted(), holders, "fencing numbers never fall")
    }

    @Test
    fun `a server whose entry lapsed during an outage serves on and is gone if it stays missing`() {
        fixture.store.configure(FleetSamples.configuration())
        val server = fixture.server(FleetSamples.PLAIN, "s1", answering)
        fixture.start()
        listOf("it returns" to true, "it stays missing" to false).forEach { (title, returns) ->
            fixture.store.fault = StoreFault.BUSY
            Thread.sleep(OUTAGE.inWholeMilliseconds)
            fixture.store.unregister("s1")
            fixture.store.state.compact()
            fixture.store.fault = StoreFault.NONE
            Thread.sleep(RETURN.inWholeMilliseconds)
            assertEquals(200, fixture.send("/post/a").statusCode(), title)
            if (returns) fixture.store.register("s1", FleetSamples.entry(FleetSamples.PLAIN, server.address))
            Thread.sleep(GRACE.inWholeMilliseconds)
            assertEquals(if (returns) 200 else 503, fixture.send("/post/b").statusCode(), title)
        }
    }

    private val DutyCall.window: String get() = body.substringAfter("\"window\":").substringBefore(",")

    private companion object {
        /** Every watch that is open ends in this time, and the next one is silent. */
        val SILENCE: Duration = 3.seconds

        /** The platform's time after which a VM counts as sound again, and that in which a change is in force. */
        val STABLE: Duration = 3.seconds
        val IN_FORCE: Duration = 2.seconds
        val OUTAGE: Duration = 1.5.seconds

        /** Within the two seconds in which an entry may return. */
        val RETURN: Duration = 1.seconds
        val GRACE: Duration = 3.seconds
    }
}
