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
import io.tarragonport.daemon.gateway.control.ObjectListener
import io.tarragonport.daemon.gateway.control.ObjectWatcher
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

/** Guards against VMs that overload an unavailable object store, and against late detection of its recovery. */
class ObjectWatcherTest {
    private class UnavailableStore(
        private val scope: TestScope,
        private val outage: Duration,
    ) : ObjectStore by InMemoryObjectStore() {
        var refused = 0
        var firstServedAt: Duration? = null

        private val now get() = scope.testScheduler.currentTime.milliseconds

        override suspend fun list(
            prefix: String,
            withValues: Boolean,
        ): Either<PlatformError, ObjectListing> {
            if (now < outage) {
                refused++
                return PlatformError.Unavailable("status 503").left()
            }
            firstServedAt = firstServedAt ?: now
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

    private object IgnoringListener : ObjectListener {
        override fun onListing(
            objects: List<ObjectEntry>,
            afterOutage: Boolean,
            revision: ObjectVersion,
        ) = Unit

        override fun storeLost() = Unit

        override fun storeRegained() = Unit

        override fun onChange(entry: ObjectEntry) = Unit

        override fun storeRestored() = Unit

        override fun storeRecovered() = Unit
    }

    private class Case(
        val outage: Duration,
        val maximumRefused: Int,
    )

    private val cases =
        listOf(
            Case(outage = 100.milliseconds, maximumRefused = 1),
            Case(outage = 1.seconds, maximumRefused = 4),
            Case(outage = 9.seconds, maximumRefused = 14),
        )

    @Test
    fun `an unavailable store is called rarely and its recovery is detected within a second`() =
        cases.forEach { case ->
            runTest {
                val store = UnavailableStore(this, case.outage)
                val watcher =
                    ObjectWatcher(
                        "servers/",
                        store,
                        testScheduler.timeSource,
                        ControlLog {
                            _,
                            _,
                            ->
                        },
                        IgnoringListener,
                    ) { FleetIntervals(87) }
                val running = backgroundScope.launch { watcher.run() }
                delay(case.outage + 1.seconds)
                val detectionDelay = store.firstServedAt?.let { it - case.outage }
                assertEquals(
                    true,
                    detectionDelay != null && detectionDelay <= 1.seconds,
                    "outage of ${case.outage}: detected after $detectionDelay",
                )
                assertEquals(
                    true,
                    store.refused <= case.maximumRefused,
                    "outage of ${case.outage}: ${store.refused} refused calls",
                )
                running.cancel()
            }
        }
}
