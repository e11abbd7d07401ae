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
 * Forwards operations to the owner of their bucket in peer messages.
 *
 * Membership views differ for seconds after a change, so two VMs may act as owner of the same bucket; the conditional
 * update of the head resolves such conflicts. A response is accepted only if its sequence number and attempt match a
 * waiting operation: sequence numbers repeat after a restart of the VM, and a response to a request from before the
 * restart must not grant a claim made after it. [scope] runs on the control dispatcher; the functions of
 * [IntentForwarding] are thread-safe.
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
    private val unresponsiveSince = ConcurrentHashMap<VmId, TimeMark>()

    @Volatile
    private var owners = BucketOwners(emptyList())

    /** Handles operations of other VMs with [commit], which returns null if the operation is not confirmed durable. */
    fun serve(commit: suspend (IntentOperation) -> IntentOutcome?) =
        peers.addHandler { from, message ->
            when (message) {
                is PeerMessage.IntentCommit -> scope.launch { respond(from, message, commit) }
                is PeerMessage.IntentCommitted -> accept(from, message)
                else -> Unit
            }
        }

    override fun ownerOf(bucket: Int): VmId? {
        val live = fleet.liveVms.value
        if (owners.live !== live) owners = BucketOwners(live)
        return owners.of(bucket)?.takeUnless { it == self || isUnresponsive(it) }
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
            unresponsiveSince[owner] = timeSource.markNow()
            throw timeout
        } finally {
            waiting.remove(sequence)
        }
    }

    private fun isUnresponsive(vm: VmId): Boolean {
        val since = unresponsiveSince[vm] ?: return false
        val unresponsive = since.elapsedNow() < UNRESPONSIVE_PAUSE
        if (!unresponsive) unresponsiveSince.remove(vm, since)
        return unresponsive
    }

    private suspend fun respond(
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

    /** Null if [text] was encoded by another release in a form that this one cannot decode. */
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
        /** Time for which a VM that timed out gets no operations; membership detects its failure only after 7 s. */
        val UNRESPONSIVE_PAUSE: Duration = 2.seconds
    }
}
