package io.tarragonport.daemon.gateway.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.gateway.DutyInterface
import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.core.gateway.usage.FinalCounts
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlin.time.Clock
import kotlin.time.Duration

/**
 * Reports each usage window so that it is counted exactly once.
 *
 * The counts of a window are made final by creating an object in the object store before they are reported. A later
 * lease holder may report the same counts again, which has no effect. A window is closed once every VM has had time to
 * write its counts. The name of the object contains the era of the store, so that a write of an earlier era which takes
 * effect late is not mistaken for one of the current era. [finalCounts] decides what may be reported after a restore.
 */
internal class UsageDuty(
    private val vm: VmId,
    private val store: ObjectStore,
    private val duties: DutyInterface,
    private val lease: LeaseGuard,
    private val recordTable: VmRecordTable,
    private val finalCounts: FinalCounts,
    private val clock: Clock,
    private val windowLength: Duration,
    private val reportDue: Duration,
    private val orderTimeout: Duration,
    private val log: ControlLog,
) {
    private val reported = sortedSetOf<Long>()

    /** The era whose predecessors' objects have been deleted. */
    private var prunedEra: StoreEra? = null

    /** The first window whose report is not overdue. */
    val firstDueWindow: Long
        get() = (clock.now() - reportDue).toEpochMilliseconds() / windowLength.inWholeMilliseconds

    /** Whether there is a closed window that this process has not reported and whose report is not overdue. */
    fun pending(): Boolean = unreportedWindows().isNotEmpty()

    /** Reports every closed window that this process has not reported and whose report is not overdue. */
    suspend fun run() {
        val windows = unreportedWindows()
        windows.forEach { report(it) }
        windows.forEach { prune(it - KEPT_WINDOWS) }
        if (windows.isNotEmpty()) pruneEarlierEras(windows.first() - KEPT_WINDOWS)
    }

    private fun unreportedWindows(): List<Long> {
        val now = clock.now().toEpochMilliseconds()
        val length = windowLength.inWholeMilliseconds
        val closingDelay = recordTable.longestInterval() + FinalCounts.CLOSING_DELAY
        val last = (now - closingDelay.inWholeMilliseconds) / length - 1
        return (firstDueWindow..last).filter { it !in reported }
    }

    private suspend fun report(windowNumber: Long) {
        countsOf(windowNumber)
            .flatMap { counts ->
                val fencing = lease.authorize(orderTimeout) ?: return
                duties.report(vm, fencing, WindowReport(windowNumber, counts)).map { counts }
            }.fold(
                { error -> log.event(GatewayEvents.USAGE_FAILED, "window" to windowNumber, "error" to error) },
                { counts ->
                    reported += windowNumber
                    while (reported.size > MAXIMUM_REMEMBERED_WINDOWS) reported.remove(reported.first())
                    log.event(GatewayEvents.USAGE_REPORTED, "window" to windowNumber, "requests" to counts.values.sum())
                },
            )
    }

    /** Deletes the final counts of window [windowNumber], which can no longer be reported. */
    private suspend fun prune(windowNumber: Long) {
        val name = nameOf(windowNumber)
        store.get(name).flatMap { found -> found?.let { store.delete(name, it.version) } ?: Unit.right() }.onLeft {
            log.event(GatewayEvents.PRUNING_FAILED, "object" to name, "error" to it)
        }
    }

    /** Deletes the objects of earlier eras of the store once the era has lasted beyond [windowNumber]. */
    private suspend fun pruneEarlierEras(windowNumber: Long) {
        val sighting = finalCounts.sighting ?: return
        if (prunedEra == sighting.era || windowNumber * windowLength.inWholeMilliseconds < sighting.atMs) return
        store.list(WINDOW_PREFIX, withValues = false).onRight { listing ->
            prunedEra = sighting.era
            listing.objects
                .filterNot { it.name.startsWith("$WINDOW_PREFIX${sighting.era}-") }
                .forEach { store.delete(it.name, it.version) }
        }
    }

    /** The final counts of window [windowNumber]; the first process to call this determines them. */
    private suspend fun countsOf(windowNumber: Long): Either<PlatformError, Map<OrganisationId, Long>> {
        val name = nameOf(windowNumber)
        val known = finalCounts.of(windowNumber)
        val counts = known ?: recordTable.usage(windowNumber)
        val stored = if (known != null || mayDetermine(windowNumber)) create(name, counts) else read(name)
        return stored.flatMap { final ->
            if (name == nameOf(windowNumber)) {
                finalCounts.learn(windowNumber, final)
                (finalCounts.of(windowNumber) ?: final).right()
            } else {
                PlatformError.Unavailable("the object store was restored meanwhile").left()
            }
        }
    }

    private fun mayDetermine(windowNumber: Long): Boolean {
        val heldFor = lease.heldFor() ?: return false
        return finalCounts.mayDetermine(windowNumber, (clock.now() - heldFor).toEpochMilliseconds())
    }

    private fun nameOf(windowNumber: Long): String {
        val era = finalCounts.sighting?.let { "${it.era}-" }.orEmpty()
        return "$WINDOW_PREFIX$era$windowNumber"
    }

    private suspend fun create(
        name: String,
        counts: Map<OrganisationId, Long>,
    ): Either<PlatformError, Map<OrganisationId, Long>> =
        store.put(name, WireJson.encodeToString(COUNTS, counts), PutCondition.Absent).fold(
            { error -> if (error is PlatformError.Conflict) read(name) else error.left() },
            { counts.right() },
        )

    private suspend fun read(name: String): Either<PlatformError, Map<OrganisationId, Long>> =
        store.get(name).flatMap { found ->
            try {
                val value = found?.value ?: return Either.Left(PlatformError.Unavailable("$name does not exist"))
                WireJson.decodeFromString(COUNTS, value).right()
            } catch (exception: SerializationException) {
                Either.Left(PlatformError.Unavailable("usage counts $name cannot be decoded: ${exception.message}"))
            }
        }

    private companion object {
        const val WINDOW_PREFIX = "usage-windows/"
        val COUNTS = MapSerializer(OrganisationId.serializer(), Long.serializer())

        /** Number of recently reported windows to remember; older ones are no longer due. */
        const val MAXIMUM_REMEMBERED_WINDOWS = 16

        /**
         * Number of windows whose final counts are kept in the object store. With the deployments' settings, this is
         * three times the number of windows that end before a report is overdue.
         */
        const val KEPT_WINDOWS = 6L
    }
}
