package io.tarragonport.daemon.peer

import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.CrashRecord
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.membership.RendezvousSelection
import io.tarragonport.daemon.membership.LiveVm
import io.tarragonport.daemon.membership.MembershipView
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Announces crashes to every live VM of the region and waits for their acknowledgements, so that a request that crashed
 * a server runs again only on VMs that have recorded the crash.
 *
 * Unacknowledged announcements are resent. A VM that has not acknowledged after [TIMEOUT] is assumed to be frozen or
 * partitioned, and the wait ends, because the streams of the crashed server have to continue. VMs that become live,
 * also after a freeze or a partition, receive every crash in [crashes].
 *
 * [run] and [receive] must be called on the control dispatcher; [announce] is safe from any thread.
 */
class CrashBroadcast(
    private val local: VmId,
    private val region: RegionId,
    private val peers: PeerMessenger,
    private val fleet: MembershipView,
    private val crashes: CrashRecords,
) : PeerMessageHandler {
    private class Announcement(
        val record: CrashRecord,
        val acknowledged: CompletableDeferred<Unit>,
    )

    private class Delivery(
        val unacknowledged: MutableSet<VmId>,
    ) {
        val complete = CompletableDeferred<Unit>()
    }

    private val announced = Channel<Announcement>(Channel.UNLIMITED)
    private val deliveries = HashMap<Long, Delivery>()
    private var sequence = 0L

    init {
        peers.addHandler(this)
    }

    /** Returns once the live VMs of the region have acknowledged [record], at the latest after [TIMEOUT]. */
    suspend fun announce(record: CrashRecord) {
        val acknowledged = CompletableDeferred<Unit>()
        announced.trySend(Announcement(record, acknowledged))
        withTimeoutOrNull(TIMEOUT) { acknowledged.await() }
    }

    /** Sends announcements until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { sendToJoiningVms() }
            for (first in announced) {
                val batch = mutableListOf(first)
                while (batch.size < MAXIMUM_RECORDS) batch += announced.tryReceive().getOrNull() ?: break
                launch { deliver(batch) }
            }
        }

    override fun receive(
        from: VmId,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.CrashAnnouncement -> {
                crashes.merge(message.crashes)
                peers.send(from, PeerMessage.CrashAcknowledgement(message.sequence))
            }

            is PeerMessage.CrashAcknowledgement -> {
                val delivery = deliveries[message.sequence] ?: return
                delivery.unacknowledged -= from
                if (delivery.unacknowledged.isEmpty()) delivery.complete.complete(Unit)
            }

            else -> Unit
        }
    }

    private suspend fun deliver(batch: List<Announcement>) {
        val delivery = Delivery(regionPeers().mapTo(HashSet()) { it.id })
        val message = PeerMessage.CrashAnnouncement(++sequence, batch.map { it.record })
        deliveries[message.sequence] = delivery
        try {
            repeat(ATTEMPTS) {
                if (delivery.unacknowledged.isNotEmpty()) {
                    delivery.unacknowledged.forEach { peers.send(it, message) }
                    withTimeoutOrNull(RESEND_INTERVAL) { delivery.complete.await() }
                }
            }
        } finally {
            deliveries -= message.sequence
            batch.forEach { it.acknowledged.complete(Unit) }
        }
    }

    /** Sends the recorded crashes to VMs that became live; at most [SENDERS_PER_JOINING_VM] VMs send them to each. */
    private suspend fun sendToJoiningVms() {
        var previous = emptySet<Pair<VmId, Any>>()
        fleet.liveVms.collect {
            val regionPeers = regionPeers()
            val joined = regionPeers.filter { it.id to it.incarnation !in previous }
            previous = regionPeers.mapTo(HashSet()) { it.id to it.incarnation }
            joined.filter { isSenderFor(it, regionPeers) }.forEach(::sendRecordedCrashes)
        }
    }

    private fun isSenderFor(
        joined: LiveVm,
        regionPeers: List<LiveVm>,
    ): Boolean {
        val candidates = regionPeers.filter { it != joined }.map { it.id } + local
        return local in RendezvousSelection.choose(joined.id.value, candidates, SENDERS_PER_JOINING_VM)
    }

    private fun sendRecordedCrashes(joined: LiveVm) {
        crashes.records().chunked(MAXIMUM_RECORDS).forEach { records ->
            peers.send(joined.id, PeerMessage.CrashAnnouncement(++sequence, records))
        }
    }

    private fun regionPeers(): List<LiveVm> = fleet.liveVms.value.filter { it.id != local && it.region == region }

    companion object {
        private const val ATTEMPTS = 4
        private val RESEND_INTERVAL: Duration = 250.milliseconds

        /** Longest wait for acknowledgements; a healthy VM of the region acknowledges within a few milliseconds. */
        val TIMEOUT: Duration = RESEND_INTERVAL * ATTEMPTS

        /** Keeps a message below 10 KB. */
        private const val MAXIMUM_RECORDS = 64

        /** VMs that send crashes to a joining VM; more than one, because one may just have joined itself. */
        private const val SENDERS_PER_JOINING_VM = 6
    }
}
