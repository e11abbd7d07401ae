package io.tarragonport.daemon.dispatch

import io.tarragonport.api.id.BackendServerId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Backend servers to which a connection could recently not be opened. Not thread-safe. */
internal class UnreachableServers(
    private val timeSource: TimeSource,
) {
    private val addedAt = HashMap<BackendServerId, TimeMark>()

    /** Adds [server]; returns true if it was not listed before. */
    fun add(server: BackendServerId): Boolean = addedAt.put(server, timeSource.markNow()) == null

    /** Removes [server]; returns true if it was listed. */
    fun remove(server: BackendServerId): Boolean = addedAt.remove(server) != null

    /** Removes servers listed for [EXCLUSION_TIME] or longer; returns true if there were any. */
    fun removeExpired(): Boolean = addedAt.values.removeIf { it.elapsedNow() >= EXCLUSION_TIME }

    operator fun contains(server: BackendServerId): Boolean = server in addedAt

    companion object {
        /** Plain services report no load, so they receive requests again after this time. */
        val EXCLUSION_TIME = 1.seconds
    }
}
