package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.core.gateway.fleet.FleetIntervals
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import kotlinx.coroutines.delay
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Follows all objects of one kind: lists them once, then watches for changes.
 *
 * A watch that breaks goes on from where it was. If the store has discarded the changes in between, or the store was
 * away, everything is listed again. A connection that went silent is found after the waiting time of [intervals] and the
 * client's slack.
 */
internal class KindWatch(
    private val prefix: String,
    private val store: ObjectStore,
    private val clock: TimeSource.WithComparableMarks,
    private val log: ControlLog,
    private val follower: KindFollower,
    private val intervals: () -> FleetIntervals,
) {
    private var position: ObjectVersion? = null
    private var failingSince: ComparableTimeMark? = null
    private var retryDelay = FIRST_RETRY_DELAY

    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            step()
        }
    }

    private suspend fun step() {
        val from = position
        if (from == null) {
            store.list(prefix, withValues = true).fold({ failed(it) }, ::listed)
        } else {
            store.watch(prefix, from, intervals().watchWait).fold({ failed(it) }) { changed(it, from) }
        }
    }

    private fun listed(listing: ObjectListing) {
        val outage = regained()
        position = listing.revision
        follower.listed(listing.objects, outage != null)
    }

    private suspend fun changed(
        listing: ObjectListing,
        from: ObjectVersion,
    ) {
        val outage = regained()
        if (outage != null && outage > SHORT_BREAK) {
            position = null
            follower.storeRecovered()
            return
        }
        position = maxOf(listing.revision, from)
        listing.objects.forEach { follower.changed(it) }
        if (listing.objects.isNotEmpty()) delay(intervals().changeBatchDelay)
    }

    private suspend fun failed(error: PlatformError) {
        if (error == PlatformError.HistoryExpired) {
            log.event(GatewayEvents.HISTORY_GONE, "kind" to prefix)
            position = null
            return
        }
        if (failingSince == null) {
            failingSince = clock.markNow()
            log.event(GatewayEvents.STORE_LOST, "kind" to prefix, "error" to error)
        }
        delay(retryDelay)
        retryDelay = minOf(retryDelay * 2, LONGEST_RETRY_DELAY)
    }

    /** How long the store was away until now, null if it was not. */
    private fun regained(): Duration? {
        val since = failingSince ?: return null
        failingSince = null
        retryDelay = FIRST_RETRY_DELAY
        val outage = since.elapsedNow()
        log.event(GatewayEvents.STORE_REGAINED, "kind" to prefix, "after_ms" to outage.inWholeMilliseconds)
        return outage
    }

    companion object {
        /** Pause after the first failed call; it doubles with each further one. */
        val FIRST_RETRY_DELAY: Duration = 200.milliseconds

        /** Refused calls are paid for as well; what changed is in force within two seconds of the store's return. */
        val LONGEST_RETRY_DELAY: Duration = 800.milliseconds

        /** A watch that was cut for less than this goes on without a new listing. */
        val SHORT_BREAK: Duration = 1.seconds
    }
}
