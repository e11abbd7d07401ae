package io.tarragonport.daemon.gateway.control

import arrow.core.Either
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.RecentChanges
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Watches all objects of one kind: lists them once, then reads changes.
 *
 * An interrupted watch resumes at its last revision. After an outage, or if the object store no longer keeps the
 * changes since that revision, all objects are listed again. A stalled connection is detected after the wait time of
 * [intervals] plus the client's timeout margin. If [recentChanges] is given, it is used unless [watchesCurrent]: in a
 * large fleet a few VMs watch the current state and pass changes on to the others, which also list later after the store
 * was restored from an older copy. [watchTimeout] replaces the wait time
 * of [intervals] for objects that change rarely.
 */
internal class ObjectWatcher(
    private val prefix: String,
    private val store: ObjectStore,
    private val clock: TimeSource.WithComparableMarks,
    private val log: ControlLog,
    private val listener: ObjectListener,
    private val recentChanges: RecentChanges? = null,
    private val watchesCurrent: () -> Boolean = { true },
    private val watchTimeout: (() -> Duration)? = null,
    private val random: Random = Random.Default,
    private val intervals: () -> FleetIntervals,
) {
    private var lastRevision: ObjectVersion? = null
    private var restored = false
    private var failingSince: ComparableTimeMark? = null
    private var retryDelay = FIRST_RETRY_DELAY

    /** Lists all objects again, because the object store was restored from an older copy. */
    fun storeRestored() {
        restored = true
        if (lastRevision != null) listener.storeRestored()
        lastRevision = null
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            step()
        }
    }

    private suspend fun step() {
        val from = lastRevision
        if (from == null) {
            if (restored && !watchesCurrent()) delay(intervals().listingSpread * random.nextDouble())
            store.list(prefix, withValues = true).fold({ failed(it) }, ::listed)
        } else {
            watch(from).fold({ failed(it) }) { if (lastRevision == from) changed(it, from) }
        }
    }

    private fun listed(listing: ObjectListing) {
        val afterOutage = endOutage() != null || restored
        restored = false
        lastRevision = listing.revision
        listener.onListing(listing.objects, afterOutage, listing.revision)
    }

    private suspend fun watch(from: ObjectVersion): Either<PlatformError, ObjectListing> {
        val wait = watchTimeout?.invoke() ?: intervals().watchTimeout
        return if (recentChanges == null || watchesCurrent()) {
            store.watch(prefix, from, wait)
        } else {
            recentChanges.watchRecent(prefix, from, wait)
        }
    }

    private suspend fun changed(
        listing: ObjectListing,
        from: ObjectVersion,
    ) {
        val outageDuration = endOutage()
        if (outageDuration != null && outageDuration > SHORT_OUTAGE) {
            lastRevision = null
            listener.storeRecovered()
            return
        }
        lastRevision = maxOf(listing.revision, from)
        listing.objects.forEach { listener.onChange(it) }
        if (listing.objects.isNotEmpty()) delay(intervals().changeBatchDelay)
    }

    private suspend fun failed(error: PlatformError) {
        if (error == PlatformError.HistoryExpired) {
            log.event(GatewayEvents.HISTORY_GONE, "kind" to prefix)
            lastRevision = null
            return
        }
        if (failingSince == null) {
            failingSince = clock.markNow()
            log.event(GatewayEvents.STORE_LOST, "kind" to prefix, "error" to error)
            listener.storeLost()
        }
        delay(retryDelay)
        retryDelay = minOf(retryDelay * 2, MAXIMUM_RETRY_DELAY)
    }

    /** Ends an outage and returns its duration; null if there was none. */
    private fun endOutage(): Duration? {
        val failureStart = failingSince ?: return null
        failingSince = null
        listener.storeRegained()
        retryDelay = FIRST_RETRY_DELAY
        val duration = failureStart.elapsedNow()
        log.event(GatewayEvents.STORE_REGAINED, "kind" to prefix, "after_ms" to duration.inWholeMilliseconds)
        return duration
    }

    companion object {
        /** Delay after the first failed call; doubled after each further failure. */
        val FIRST_RETRY_DELAY: Duration = 200.milliseconds

        /**
         * Refused calls are billed too, so the delay must not be short. With this delay, changes are active within 2 s
         * of the store's recovery.
         */
        val MAXIMUM_RETRY_DELAY: Duration = 800.milliseconds

        /** A watch interrupted for less than this resumes without a new listing. */
        val SHORT_OUTAGE: Duration = 1.seconds
    }
}
