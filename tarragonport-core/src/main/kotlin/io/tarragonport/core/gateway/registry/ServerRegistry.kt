package io.tarragonport.core.gateway.registry

import io.tarragonport.api.gateway.RegisteredServer
import io.tarragonport.api.id.BackendServerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The backend servers that registered themselves, as the control thread knows them.
 *
 * Entries lapse while the platform's store is away and come back within [RETURN_GRACE] of its return if the server
 * lives. A listing after an outage therefore removes only what stays missing for that long. A removal that a watch
 * reports while the store is well takes effect at once.
 */
class ServerRegistry(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val entries = mutableMapOf<BackendServerId, RegisteredServer>()
    private val missing = mutableMapOf<BackendServerId, ComparableTimeMark>()
    private var returnGraceEnds: ComparableTimeMark? = null

    /** Servers in use or leaving. */
    val servers: Collection<RegisteredServer> get() = entries.values

    /** Whether an entry lapsed that may still return. */
    val hasMissingServers: Boolean get() = missing.isNotEmpty()

    /** Takes the complete listing [listed]; [afterOutage] tells whether the store was away before it. */
    fun replace(
        listed: Collection<RegisteredServer>,
        afterOutage: Boolean,
    ) {
        val ids = listed.mapTo(mutableSetOf()) { it.id }
        val absent = entries.keys - ids
        if (afterOutage) {
            val due = graceEnd() ?: (clock.markNow() + RETURN_GRACE)
            absent.forEach { missing.putIfAbsent(it, due) }
        } else {
            absent.filter { it !in missing }.forEach(entries::remove)
        }
        listed.forEach(::put)
    }

    /** Takes a new or changed entry. */
    fun put(server: RegisteredServer) {
        missing -= server.id
        entries[server.id] = server
    }

    /** Takes the removal of an entry, which may have lapsed while the store was away. */
    fun remove(id: BackendServerId) {
        val due = graceEnd()
        if (due == null) drop(id) else missing.putIfAbsent(id, due)
    }

    /** The store answers again after an outage. */
    fun storeRecovered() {
        returnGraceEnds = clock.markNow() + RETURN_GRACE
    }

    /** Removes entries that stayed missing; returns their ids. */
    fun expire(): List<BackendServerId> {
        val now = clock.markNow()
        val gone = missing.filterValues { it <= now }.keys.toList()
        gone.forEach(::drop)
        return gone
    }

    private fun drop(id: BackendServerId) {
        missing -= id
        entries -= id
    }

    private fun graceEnd(): ComparableTimeMark? = returnGraceEnds?.takeIf { it > clock.markNow() }

    companion object {
        /** The platform's promise for the return of entries that lapsed during an outage. */
        val RETURN_GRACE: Duration = 2.seconds
    }
}
