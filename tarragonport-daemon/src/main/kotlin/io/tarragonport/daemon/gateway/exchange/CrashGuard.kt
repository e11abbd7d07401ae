package io.tarragonport.daemon.gateway.exchange

import com.google.common.hash.Hashing
import io.netty.buffer.ByteBufUtil
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.core.health.CrashHistory
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Blocks requests that repeatedly crash the servers that run them, to protect further servers.
 *
 * Callers send such a request again with the same path, key and body, and it may reach any VM. The VMs therefore share
 * the crashes that they observe in their VM records. A single lost response looks like a crash, so a request is blocked
 * only after [BLOCK_THRESHOLD] crashes.
 */
internal class CrashGuard(
    private val clock: TimeSource.WithComparableMarks,
) {
    private val crashHistory = CrashHistory(clock, BLOCK_THRESHOLD, SAME_CRASH_WINDOW)

    @Volatile
    private var recorded = RecordedCrashes(emptyList(), clock.markNow())

    /** The newest recorded crashes with their present ages, for the VM record; safe to read from any thread. */
    val recentCrashes: List<CrashRecord> get() = recorded.aged()

    /** Whether [request] must not be sent to another server. */
    fun blocks(request: CallerRequest): Boolean = !crashHistory.isEmpty && crashHistory.isBlocked(fingerprint(request))

    /** Records that [server] closed the connection while it ran [request]. */
    fun record(
        request: CallerRequest,
        server: BackendServerId,
    ) {
        crashHistory.record(fingerprint(request), server)
        recorded = RecordedCrashes(crashHistory.records().takeLast(MAXIMUM_SHARED_CRASHES), clock.markNow())
    }

    /** Adds crashes recorded on other VMs. */
    fun merge(crashes: List<CrashRecord>) = crashHistory.merge(crashes)

    /** Crashes with their ages at [readAt]. */
    private class RecordedCrashes(
        private val records: List<CrashRecord>,
        private val readAt: ComparableTimeMark,
    ) {
        fun aged(): List<CrashRecord> {
            val elapsed = readAt.elapsedNow().inWholeMilliseconds
            return records.map { it.copy(ageMs = it.ageMs + elapsed) }
        }
    }

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
        /** While a server loses many responses, two attempts of one request can fail by chance. */
        const val BLOCK_THRESHOLD = 3

        /**
         * Records of one server within this time are the same crash; a crashed server restarts within some seconds and
         * can then crash again.
         */
        val SAME_CRASH_WINDOW: Duration = 2.seconds

        /** Maximum number of crashes in a record, about 100 bytes each. */
        const val MAXIMUM_SHARED_CRASHES = 64
    }
}
