package io.tarragonport.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.KindFollower
import io.tarragonport.daemon.gateway.control.KindWatch
import io.tarragonport.daemon.store.InMemoryObjectStore
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against VMs that press a store which is away, and against a return that is noticed too late. */
class KindWatchTest {
    private class AwayStore(
        private val scope: TestScope,
        private val away: Duration,
    ) : ObjectStore by InMemoryObjectStore() {
        var refused = 0
        var servedAt: Duration? = null

        private val now get() = scope.testScheduler.currentTime.milliseconds

        override suspend fun list(
            prefix: String,
            withValues: Boolean,
        ): Either<PlatformError, ObjectListing> {
            if (now < away) {
                refused++
                return PlatformError.Unavailable("status 503").left()
            }
            servedAt = servedAt ?: now
            return ObjectListing(ObjectVersion(1), emptyList()).right()
        }

        override suspend fun watch(
            prefix: String,
            after: ObjectVersion,
            wait: Duration,
        ): Either<PlatformError, ObjectListing> {
            delay(wait)
            return ObjectListing(after, emptyList()).right()
        }
    }

    private object Ignoring : KindFollower {
        override fun listed(
            objects: List<ObjectEntry>,
            afterOutage: Boolean,
        ) = Unit

        override fun changed(entry: ObjectEntry) = Unit

        override fun storeRecovered() = Unit
    }

    private class Case(
        val away: Duration,
        val mostRefused: Int,
    )

    private val cases =
        listOf(
            Case(away = 100.milliseconds, mostRefused = 1),
            Case(away = 1.seconds, mostRefused = 4),
            Case(away = 9.seconds, mostRefused = 14),
        )

    @Test
    fun `a store that is away is asked seldom and found again within a second`() =
        cases.forEach { case ->
            runTest {
                val store = AwayStore(this, case.away)
                val watch =
                    KindWatch(
                        "servers/",
                        store,
                        testScheduler.timeSource,
                        ControlLog {
                            _,
                            _,
                            ->
                        },
                        Ignoring,
                    ) { FleetIntervals(87) }
                val running = backgroundScope.launch { watch.run() }
                delay(case.away + 1.seconds)
                val late = store.servedAt?.let { it - case.away }
                assertEquals(true, late != null && late <= 1.seconds, "away ${case.away}: found again after $late")
                assertEquals(
                    true,
                    store.refused <= case.mostRefused,
                    "away ${case.away}: ${store.refused} refused calls",
                )
                running.cancel()
            }
        }
}
