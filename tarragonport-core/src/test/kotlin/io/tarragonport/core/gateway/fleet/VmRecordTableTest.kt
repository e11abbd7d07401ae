package io.tarragonport.core.gateway.fleet

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.gateway.usage.SmoothedWallClock
import io.tarragonport.core.gateway.usage.UsageWindowCounter
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

/** Guards against losing the usage of an ended VM and against planning capacity for its load. */
class VmRecordTableTest {
    private val clock = TestTimeSource()
    private val table = VmRecordTable(clock)
    private val organisation = OrganisationId("o")
    private val service = ServiceId("s")

    private fun record(
        vm: String,
        incarnation: Long,
        heartbeat: Long,
        count: Long,
    ) = VmRecord(
        VmId(vm),
        Incarnation(incarnation),
        "10.0.0.1",
        heartbeat,
        mapOf(5L to mapOf(organisation to count)),
        mapOf(service to ServiceDemand(100.0, 2.0)),
    )

    @Test
    fun `usage counts for all incarnations and load only for live VMs`() {
        table.update(mapOf("v1-1" to record("v1", 1, 1, 3), "v2-1" to record("v2", 1, 1, 4)))
        clock += 5.seconds
        table.update(
            mapOf("v1-1" to record("v1", 1, 1, 3), "v1-2" to record("v1", 2, 1, 1), "v2-1" to record("v2", 1, 2, 6)),
        )
        clock += 2.seconds
        assertEquals(mapOf(organisation to 10L), table.usage(5))
        assertEquals(
            listOf("v1" to 2L, "v2" to 1L),
            table
                .live()
                .map {
                    it.vm.value to it.incarnation.value
                }.sortedBy { it.first },
        )
        assertEquals(ServiceDemand(200.0, 4.0), table.demand(service))
    }

    @Test
    fun `a VM with a longer record interval stays live longer`() {
        table.update(mapOf("v1-1" to record("v1", 1, 1, 3), "v2-1" to record("v2", 1, 1, 4).copy(nextInMs = 5_000)))
        clock += 10.seconds
        assertEquals(listOf("v2"), table.live().map { it.vm.value })
        assertEquals(5.seconds, table.longestInterval())
    }

    @Test
    fun `a VM whose record stops changing is no longer live`() {
        table.update(mapOf("v1-1" to record("v1", 1, 1, 3)))
        clock += FleetIntervals.RECORD_INTERVAL * VmRecordTable.LIVE_INTERVALS
        assertEquals(emptyList(), table.live())
        assertEquals(emptyList(), table.expiredNames())
        clock += VmRecordTable.RETENTION
        assertEquals(listOf("v1-1"), table.expiredNames())
    }

    @Test
    fun `load is averaged over the time between two readings`() {
        val meter = ServiceDemandMeter(clock)
        meter.requestSent(service, 1_000)
        clock += 1.seconds
        meter.requestSent(service, 3_000)
        clock += 1.seconds
        assertEquals(ServiceDemand(2_000.0, 1.5), meter.read().getValue(service))
        meter.requestEnded(service)
        clock += 2.seconds
        assertEquals(ServiceDemand(0.0, 1.0), meter.read().getValue(service))
    }

    @Test
    fun `short clock steps do not affect the usage window`() {
        val wall = SteppingClock(clock)
        val steady = SmoothedWallClock(wall, clock)
        val meter = UsageWindowCounter(5.seconds)

        data class Case(
            val passes: Duration,
            val step: Duration,
            val window: Long,
        )
        listOf(
            Case(1.seconds, Duration.ZERO, 200),
            Case(1.seconds, 2_400.milliseconds, 200),
            Case(1.seconds, (-7).seconds, 200),
            Case(3.seconds, Duration.ZERO, 201),
        ).forEach { case ->
            clock += case.passes
            wall.step = case.step
            assertEquals(case.window, meter.windowAt(steady.now()), "$case")
        }
    }

    @Test
    fun `a lasting clock step is applied`() {
        val wall = SteppingClock(clock)
        val steady = SmoothedWallClock(wall, clock)
        wall.step = 10.seconds
        steady.now()
        clock += 31.seconds
        assertEquals(wall.now(), steady.now().also { steady.now() }.let { steady.now() })
    }

    private class SteppingClock(
        time: TestTimeSource,
    ) : Clock {
        private val start = time.markNow()
        var step = Duration.ZERO

        override fun now(): Instant = Instant.fromEpochSeconds(1_000) + start.elapsedNow() + step
    }
}
