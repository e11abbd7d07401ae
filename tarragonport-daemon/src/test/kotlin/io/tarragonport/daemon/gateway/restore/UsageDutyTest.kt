package io.tarragonport.daemon.gateway.restore

import arrow.core.Either
import arrow.core.right
import io.tarragonport.api.gateway.DutyInterface
import io.tarragonport.api.gateway.ServerCountOrder
import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.usage.FinalCounts
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.UsageDuty
import io.tarragonport.daemon.lease.LeaseGuard
import io.tarragonport.daemon.store.InMemoryObjectStore
import io.tarragonport.daemon.store.VirtualWallClock
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a second version of a window's counts: the window has closed, and an earlier holder may have reported it.
 */
class UsageDutyTest {
    /** What is reported of the only closed window, if the store is in [era] since [eraAge] and the lease held for [heldFor]. */
    private class Case(
        val name: String,
        val era: Long?,
        val eraAge: Duration = Duration.ZERO,
        val heldFor: Duration? = Duration.ZERO,
        val stored: Map<String, Long> = emptyMap(),
        val known: Long? = null,
        val reported: Long?,
    )

    private class Guard(
        private val held: Duration?,
    ) : LeaseGuard {
        override val heldToken = MutableStateFlow<FencingToken?>(FencingToken(1))

        override fun heldFor(): Duration? = held

        override fun authorize(longestCall: Duration): FencingToken = FencingToken(1)
    }

    private class Platform : DutyInterface {
        val reports = mutableListOf<WindowReport>()

        override suspend fun report(
            holder: VmId,
            fencingToken: FencingToken,
            report: WindowReport,
        ): Either<PlatformError, Unit> {
            reports += report
            return Unit.right()
        }

        override suspend fun order(
            holder: VmId,
            fencingToken: FencingToken,
            order: ServerCountOrder,
        ): Either<PlatformError, Unit> = Unit.right()
    }

    private val cases =
        listOf(
            Case("a store without eras", era = null, reported = NOTHING),
            Case("counts in a store without eras", era = null, stored = mapOf("" to 7), reported = 7),
            Case("an era that began long ago", era = 2, eraAge = 1.minutes, reported = NOTHING),
            Case("a new era, and nobody knows the counts", era = 2, reported = null),
            Case(
                "a new era, and a create of an earlier one took effect late",
                2,
                stored = mapOf("1-" to 7),
                reported = null,
            ),
            Case(
                "a new era, and counts that a VM that knew them has stored",
                2,
                stored = mapOf("2-" to 7),
                reported = 7,
            ),
            Case("a new era, and the counts are known", era = 2, known = 7, reported = 7),
            Case("known counts and others stored", era = 2, stored = mapOf("2-" to 8), known = 7, reported = 7),
            Case("a new era, and the lease was held all the while", era = 2, heldFor = 1.minutes, reported = NOTHING),
            Case("a new era, and the lease was lost meanwhile", era = 2, heldFor = null, reported = null),
        )

    @TestFactory
    fun `counts of a closed window are reported in one version`(): List<DynamicTest> =
        cases.map { case -> DynamicTest.dynamicTest(case.name) { runTest { play(case) } } }

    /** Guards against objects of earlier eras that stay in the store for good. */
    @TestFactory
    fun `objects of earlier eras are deleted once they are not needed`(): List<DynamicTest> =
        listOf(10.seconds to 2, 1.minutes to 1).map { (eraAge, remaining) ->
            DynamicTest.dynamicTest("$eraAge after the restore") {
                runTest {
                    val stored = mapOf("1-" to 7L)
                    val store = play(Case("", 2, eraAge, heldFor = 1.minutes, stored = stored, reported = NOTHING))
                    assertEquals(remaining, store.names.size, "${store.names}")
                }
            }
        }

    private suspend fun TestScope.play(case: Case): InMemoryObjectStore {
        val clock = VirtualWallClock(testScheduler, CLOSED_FOR)
        val store = InMemoryObjectStore()
        val platform = Platform()
        val finalCounts = FinalCounts(WINDOW)
        case.era?.let { finalCounts.eraBegan(StoreEra(it), (clock.now() - case.eraAge).toEpochMilliseconds()) }
        val window = VirtualWallClock.START.toEpochMilliseconds() / WINDOW.inWholeMilliseconds - 1
        case.known?.let { finalCounts.learn(window, mapOf(ORGANISATION to it)) }
        case.stored.forEach { (prefix, count) ->
            store.put("usage-windows/$prefix$window", "{\"$ORGANISATION\":$count}", PutCondition.Absent)
        }
        UsageDuty(
            VmId("a"),
            store,
            platform,
            Guard(case.heldFor),
            VmRecordTable(testScheduler.timeSource),
            finalCounts,
            clock,
            WINDOW,
            reportDue = WINDOW,
            orderTimeout = 1.seconds,
            ControlLog { _, _ -> },
        ).run()
        assertEquals(
            listOfNotNull(case.reported),
            platform.reports.map { it.requests[ORGANISATION] ?: NOTHING },
            case.name,
        )
        return store
    }

    private companion object {
        val ORGANISATION = OrganisationId("organisation")
        val WINDOW = 5.seconds

        /** Longer than the delay after which a window is closed, and shorter than a window. */
        val CLOSED_FOR = 4_500.milliseconds

        /** No VM has counted a request. */
        const val NOTHING = 0L
    }
}
