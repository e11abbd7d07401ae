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

/** Store faults that are not visible in the status of a response: stalled watches, lost responses, expired entries. */
class GatewayStoreFaultsTest {
    private val fixture = GatewayFixture()

    private val respondOk: (ReceivedCall, Socket) -> Unit = { call, socket ->
        socket.getOutputStream().send(ServerResponses.plain(call, "ok"))
    }

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `a change during a stalled watch becomes active within the time limit`() {
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.store.configure(FleetSamples.configuration())
        fixture.start()
        fixture.store.fault = StoreFault.SILENT_WATCHES
        Thread.sleep(STALL_DURATION.inWholeMilliseconds)
        fixture.store.configure(FleetSamples.configuration(version = 2, keys = listOf("key-new")))
        fixture.store.fault = StoreFault.NONE
        val changed = TimeSource.Monotonic.markNow()
        fixture.eventually("the change is not active") { fixture.send("/post/a").statusCode() == 401 }
        assertTrue(changed.elapsedNow() < RECOVERY_LIMIT + ACTIVATION_LIMIT, "${changed.elapsedNow()}")
    }

    @Test
    fun `lost responses of the store cause no conflicting figures for a usage window`() {
        fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
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
        val fencingTokens = usage().map { it.fencing }
        assertEquals(fencingTokens.sorted(), fencingTokens, "fencing tokens must not decrease")
    }

    @Test
    fun `a server whose entry expired during an outage stays in use and is removed if the entry stays missing`() {
        fixture.store.configure(FleetSamples.configuration())
        val server = fixture.startServer(FleetSamples.PLAIN, "s1", respondOk)
        fixture.start()
        listOf("the entry returns" to true, "the entry stays missing" to false).forEach { (title, returns) ->
            fixture.store.fault = StoreFault.BUSY
            Thread.sleep(OUTAGE_DURATION.inWholeMilliseconds)
            fixture.store.unregister("s1")
            fixture.store.state.compact()
            fixture.store.fault = StoreFault.NONE
            Thread.sleep(WITHIN_GRACE_PERIOD.inWholeMilliseconds)
            assertEquals(200, fixture.send("/post/a").statusCode(), title)
            if (returns) fixture.store.register("s1", FleetSamples.entry(FleetSamples.PLAIN, server.address))
            Thread.sleep(BEYOND_GRACE_PERIOD.inWholeMilliseconds)
            assertEquals(if (returns) 200 else 503, fixture.send("/post/b").statusCode(), title)
        }
    }

    private val DutyCall.window: String get() = body.substringAfter("\"window\":").substringBefore(",")

    private companion object {
        /** Long enough for every open watch to end and the next one to stall. */
        val STALL_DURATION: Duration = 3.seconds

        /** Time after which the platform considers a VM healthy again. */
        val RECOVERY_LIMIT: Duration = 3.seconds

        /** Time limit for activating a change. */
        val ACTIVATION_LIMIT: Duration = 2.seconds
        val OUTAGE_DURATION: Duration = 1.5.seconds

        /** Shorter than the two seconds for which a server stays in use after its entry has gone missing. */
        val WITHIN_GRACE_PERIOD: Duration = 1.seconds
        val BEYOND_GRACE_PERIOD: Duration = 3.seconds
    }
}
