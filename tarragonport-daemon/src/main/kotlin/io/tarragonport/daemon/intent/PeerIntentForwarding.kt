package io.tarragonport.daemon.intent

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.peer.PeerMessenger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Sends operations to the owner of their bucket in peer messages.
 *
 * Views of the live VMs differ for seconds after a change, so two VMs may believe to own a bucket; the conditional update
 * of the head decides. An answer counts only if sequence and attempt are those of a waiting operation: the sequence alone
 * repeats after a restart, and the answer to an earlier process must not grant a claim of this one. [scope] runs on the
 * control dispatcher; the functions of [IntentForwarding] are safe from any thread.
 */
class PeerIntentForwarding(
    private val self: VmId,
    private val fleet: MembershipView,
    private val peers: PeerMessenger,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource,
) : IntentForwarding {
    private val sequences = AtomicLong()
    private val waiting = ConcurrentHashMap<Long, AwaitedOperation>()
    private val silentSince = ConcurrentHashMap<VmId, TimeMark>()

    @Volatile
    private var owners = BucketOwners(emptyList())

    /** Answers operations of other VMs by [commit], which returns null if the operation is not known to be durable. */
    fun serve(commit: suspend (IntentOperation) -> IntentOutcome?) =
        peers.addHandler { from, message ->
            when (message) {
                is PeerMessage.IntentCommit -> scope.launch { answer(from, message, commit) }
                is PeerMessage.IntentCommitted -> accept(from, message)
                else -> Unit
            }
        }

    override fun ownerOf(bucket: Int): VmId? {
        val live = fleet.liveVms.value
        if (owners.live !== live) owners = BucketOwners(live)
        return owners.of(bucket)?.takeUnless { it == self || isSilent(it) }
    }

    override suspend fun commit(
        owner: VmId,
        operation: IntentOperation,
    ): IntentOutcome? {
        val sequence = sequences.incrementAndGet()
        val awaited = AwaitedOperation(owner, operation.attempt)
        waiting[sequence] = awaited
        try {
            val text = WireJson.encodeToString(IntentOperation.serializer(), operation)
            scope.launch { peers.send(owner, PeerMessage.IntentCommit(sequence, text)) }
            return awaited.outcome.await()
        } catch (timeout: TimeoutCancellationException) {
            silentSince[owner] = timeSource.markNow()
            throw timeout
        } finally {
            waiting.remove(sequence)
        }
    }

    private fun isSilent(vm: VmId): Boolean {
        val since = silentSince[vm] ?: return false
        val silent = since.elapsedNow() < SILENT_PAUSE
        if (!silent) silentSince.remove(vm, since)
        return silent
    }

    private suspend fun answer(
        from: VmId,
        message: PeerMessage.IntentCommit,
        commit: suspend (IntentOperation) -> IntentOutcome?,
    ) {
        val operation = decode(IntentOperation.serializer(), message.operation) ?: return
        val outcome = commit(operation)?.let { WireJson.encodeToString(IntentOutcome.serializer(), it) }
        peers.send(from, PeerMessage.IntentCommitted(message.sequence, operation.attempt, outcome))
    }

    private fun accept(
        from: VmId,
        message: PeerMessage.IntentCommitted,
    ) {
        val awaited = waiting[message.sequence]?.takeIf { it.owner == from && it.attempt == message.attempt } ?: return
        awaited.outcome.complete(message.outcome?.let { decode(IntentOutcome.serializer(), it) })
    }

    /** Null for what another release encoded in a way that this one does not know. */
    private fun <T> decode(
        serializer: KSerializer<T>,
        text: String,
    ): T? =
        try {
            WireJson.decodeFromString(serializer, text)
        } catch (_: SerializationException) {
            null
        }

    companion object {
        /** Time in which an owner that did not answer is not asked again; a dead one is believed live for 7 s. */
        val SILENT_PAUSE: Duration = 2.seconds
    }
}
