package io.tarragonport.core.gateway.registry

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The registered backend servers, owned by the control thread.
 *
 * Entries expire during an outage of the platform's store, and live servers register again within
 * [REREGISTRATION_GRACE] of its end. A listing after an outage therefore removes only entries that stay missing for
 * that long. A removal reported by a watch while the store is available takes effect immediately. If the store was
 * restored from an older copy, a server that is known to leave stays so although the copy says otherwise.
 */
class ServerRegistry(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val entries = mutableMapOf<BackendServerId, RegisteredServer>()
    private val missing = mutableMapOf<BackendServerId, ComparableTimeMark>()
    private val leavingAtRestore = mutableMapOf<BackendServerId, Long>()
    private var graceEndsAt: ComparableTimeMark? = null

    /** Registered servers, including leaving ones and those within the grace period. */
    val servers: Collection<RegisteredServer> get() = entries.values

    /** Whether an expired entry is within the grace period. */
    val hasMissingServers: Boolean get() = missing.isNotEmpty()

    /** Applies the complete listing [listed]; [afterOutage] is true if the store was unavailable before it. */
    fun replace(
        listed: Collection<RegisteredServer>,
        afterOutage: Boolean,
    ) {
        val ids = listed.mapTo(mutableSetOf()) { it.id }
        val absent = entries.keys - ids
        if (afterOutage) {
            val due = activeGraceEnd() ?: (clock.markNow() + REREGISTRATION_GRACE)
            absent.forEach { missing.putIfAbsent(it, due) }
        } else {
            absent.filter { it !in missing }.forEach(entries::remove)
        }
        listed.forEach(::put)
    }

    /** Adds or replaces an entry. */
    fun put(server: RegisteredServer) {
        missing -= server.id
        val leaving = leavingAtRestore[server.id] == server.startedAtMs
        if (!leaving) leavingAtRestore -= server.id
        entries[server.id] = if (leaving) server.copy(leaving = true) else server
    }

    /** Removes an entry, after the grace period if it may have expired during an outage. */
    fun remove(id: BackendServerId) {
        val due = activeGraceEnd()
        if (due == null) discard(id) else missing.putIfAbsent(id, due)
    }

    /**
     * Prepares for the listing of a store that was restored from an older copy, in which entries may be missing or older
     * than those known.
     */
    fun storeRestored() {
        entries.values.filter { it.leaving }.forEach { leavingAtRestore[it.id] = it.startedAtMs }
        storeRecovered()
    }

    /** Starts the grace period after an outage of the store. */
    fun storeRecovered() {
        graceEndsAt = clock.markNow() + REREGISTRATION_GRACE
    }

    /** Removes entries whose grace period has ended and returns their ids. */
    fun expire(): List<BackendServerId> {
        val now = clock.markNow()
        val expired = missing.filterValues { it <= now }.keys.toList()
        expired.forEach(::discard)
        return expired
    }

    private fun discard(id: BackendServerId) {
        missing -= id
        entries -= id
        leavingAtRestore -= id
    }

    private fun activeGraceEnd(): ComparableTimeMark? = graceEndsAt?.takeIf { it > clock.markNow() }

    companion object {
        /** Time within which the platform guarantees the return of entries that expired during an outage. */
        val REREGISTRATION_GRACE: Duration = 2.seconds
    }
}
