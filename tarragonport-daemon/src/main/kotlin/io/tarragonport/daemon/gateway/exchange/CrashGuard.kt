package io.tarragonport.daemon.gateway.exchange

import com.google.common.hash.Hashing
import io.netty.buffer.ByteBufUtil
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Keeps requests that crash the servers which run them away from further servers.
 *
 * Such a request comes again with the same path, key and body, at any VM; the VMs share what they saw in their records.
 * A single lost answer looks like a crash, so a request is held only after [HELD_AFTER].
 */
internal class CrashGuard(
    clock: TimeSource.WithComparableMarks,
) {
    private val ledger = CrashHistory(clock, HELD_AFTER, SAME_CRASH)

    /** What this VM knows, for its record; safe to read from any thread. */
    @Volatile
    var known: List<CrashRecord> = emptyList()
        private set

    /** Whether [request] is not to be sent to another server. */
    fun holds(request: CallerRequest): Boolean = !ledger.empty && ledger.isHeld(fingerprint(request))

    /** [server] broke off while it ran [request]. */
    fun record(
        request: CallerRequest,
        server: BackendServerId,
    ) {
        ledger.record(fingerprint(request), server)
        known = ledger.sightings().takeLast(SHARED)
    }

    /** Takes what another VM saw. */
    fun merge(sightings: List<CrashRecord>) = ledger.merge(sightings)

    private fun fingerprint(request: CallerRequest): String =
        Hashing
            .murmur3_128()
            .newHasher()
            .putUnencodedChars(request.path)
            .putUnencodedChars(request.metadata.key.orEmpty())
            .putBytes(ByteBufUtil.getBytes(request.body))
            .hash()
            .toString()

    private companion object {
        /** Two answers of one request can be lost by chance while a server loses many. */
        const val HELD_AFTER = 3

        /** A crashed server is back after some seconds and can crash again. */
        val SAME_CRASH: Duration = 2.seconds

        /** Newest sightings in a record, about 100 bytes each. */
        const val SHARED = 64
    }
}
