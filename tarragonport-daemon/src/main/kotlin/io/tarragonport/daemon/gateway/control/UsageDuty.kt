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
 * Reports each usage window once, with one figure.
 *
 * The figure of a window is fixed by creating an object in the store before it is reported; whoever holds the duty
 * later reports the same figure again, which has no effect. A window is closed when every VM
 * has had the time to write its counts.
 */
internal class UsageDuty(
    private val vm: VmId,
    private val store: ObjectStore,
    private val duties: DutyInterface,
    private val lease: LeaseGuard,
    private val view: VmRecordTable,
    private val clock: Clock,
    private val window: Duration,
    private val due: Duration,
    private val orderTimeout: Duration,
    private val log: ControlLog,
) {
    private val reported = sortedSetOf<Long>()

    /** Whether a window is closed and not reported by this process. */
    fun pending(): Boolean = openWindows().isNotEmpty()

    /** Reports every closed window that is still in time. */
    suspend fun run() {
        val windows = openWindows()
        windows.forEach { report(it) }
        windows.forEach { prune(it - KEPT_WINDOWS) }
    }

    private fun openWindows(): List<Long> {
        val now = clock.now().toEpochMilliseconds()
        val length = window.inWholeMilliseconds
        val last = (now - (view.longestInterval() + WRITE_SLACK).inWholeMilliseconds) / length - 1
        val first = (now - due.inWholeMilliseconds) / length
        return (first..last).filter { it !in reported }
    }

    private suspend fun report(number: Long) {
        fixed(number)
            .flatMap { counts ->
                val fencing = lease.authorize(orderTimeout) ?: return
                duties.report(vm, fencing, WindowReport(number, counts)).map { counts }
            }.fold(
                { error -> log.event(GatewayEvents.USAGE_FAILED, "window" to number, "error" to error) },
                { counts ->
                    reported += number
                    while (reported.size > REMEMBERED) reported.remove(reported.first())
                    log.event(GatewayEvents.USAGE_REPORTED, "window" to number, "requests" to counts.values.sum())
                },
            )
    }

    /** Deletes the figure of window [number], which nobody reports any more. */
    private suspend fun prune(number: Long) {
        val name = "$FIXED_PREFIX$number"
        store.get(name).flatMap { found -> found?.let { store.delete(name, it.version) } ?: Unit.right() }.onLeft {
            log.event(GatewayEvents.PRUNING_FAILED, "object" to name, "error" to it)
        }
    }

    /** The figure of window [number], which is fixed by the first process that asks. */
    private suspend fun fixed(number: Long): Either<PlatformError, Map<OrganisationId, Long>> {
        val name = "$FIXED_PREFIX$number"
        val counts = view.usage(number)
        return store.put(name, WireJson.encodeToString(COUNTS, counts), PutCondition.Absent).fold(
            { error -> if (error is PlatformError.Conflict) read(name) else Either.Left(error) },
            { counts.right() },
        )
    }

    private suspend fun read(name: String): Either<PlatformError, Map<OrganisationId, Long>> =
        store.get(name).flatMap { found ->
            try {
                val value = found?.value ?: return Either.Left(PlatformError.Unavailable("figure of $name is gone"))
                WireJson.decodeFromString(COUNTS, value).right()
            } catch (exception: SerializationException) {
                Either.Left(PlatformError.Unavailable("unreadable figure of $name: ${exception.message}"))
            }
        }

    private companion object {
        const val FIXED_PREFIX = "usage-windows/"
        val COUNTS = MapSerializer(OrganisationId.serializer(), Long.serializer())

        /** Time to write a record, with one repeat. */
        val WRITE_SLACK: Duration = 1.seconds

        /** Windows that were reported lately; older ones are not asked for again. */
        const val REMEMBERED = 16

        /** Figures that are kept: three times the windows that end before a report is overdue, on the deployments' sheets. */
        const val KEPT_WINDOWS = 6L
    }
}
