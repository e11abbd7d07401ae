package io.tarragonport.daemon.gateway.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.gateway.DutyInterface
import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import io.tarragonport.daemon.lease.LeaseGuard
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reports each usage window so that it is counted exactly once.
 *
 * The counts of a window are made final by creating an object in the object store before they are reported. A later
 * lease holder may report the same counts again, which has no effect. A window is closed once every VM has had time to
 * write its counts.
 */
internal class UsageDuty(
    private val vm: VmId,
    private val store: ObjectStore,
    private val duties: DutyInterface,
    private val lease: LeaseGuard,
    private val recordTable: VmRecordTable,
    private val clock: Clock,
    private val windowLength: Duration,
    private val reportDue: Duration,
    private val orderTimeout: Duration,
    private val log: ControlLog,
) {
    private val reported = sortedSetOf<Long>()

    /** Whether there is a closed window that this process has not reported and whose report is not overdue. */
    fun pending(): Boolean = unreportedWindows().isNotEmpty()

    /** Reports every closed window that this process has not reported and whose report is not overdue. */
    suspend fun run() {
        val windows = unreportedWindows()
        windows.forEach { report(it) }
        windows.forEach { prune(it - KEPT_WINDOWS) }
    }

    private fun unreportedWindows(): List<Long> {
        val now = clock.now().toEpochMilliseconds()
        val length = windowLength.inWholeMilliseconds
        val last = (now - (recordTable.longestInterval() + WRITE_MARGIN).inWholeMilliseconds) / length - 1
        val first = (now - reportDue.inWholeMilliseconds) / length
        return (first..last).filter { it !in reported }
    }

    private suspend fun report(windowNumber: Long) {
        finalCounts(windowNumber)
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
        val name = "$WINDOW_PREFIX$windowNumber"
        store.get(name).flatMap { found -> found?.let { store.delete(name, it.version) } ?: Unit.right() }.onLeft {
            log.event(GatewayEvents.PRUNING_FAILED, "object" to name, "error" to it)
        }
    }

    /** The final counts of window [windowNumber]; the first process to call this determines them. */
    private suspend fun finalCounts(windowNumber: Long): Either<PlatformError, Map<OrganisationId, Long>> {
        val name = "$WINDOW_PREFIX$windowNumber"
        val counts = recordTable.usage(windowNumber)
        return store.put(name, WireJson.encodeToString(COUNTS, counts), PutCondition.Absent).fold(
            { error -> if (error is PlatformError.Conflict) read(name) else Either.Left(error) },
            { counts.right() },
        )
    }

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

        /** Time to write a record, including one retry. */
        val WRITE_MARGIN: Duration = 1.seconds

        /** Number of recently reported windows to remember; older ones are no longer due. */
        const val MAXIMUM_REMEMBERED_WINDOWS = 16

        /**
         * Number of windows whose final counts are kept in the object store. With the deployments' settings, this is
         * three times the number of windows that end before a report is overdue.
         */
        const val KEPT_WINDOWS = 6L
    }
}
