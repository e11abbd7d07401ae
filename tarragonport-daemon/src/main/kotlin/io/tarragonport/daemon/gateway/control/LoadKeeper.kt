package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.api.peer.ServerLoadShare
import io.tarragonport.core.gateway.balance.ServerLoad
import io.tarragonport.core.gateway.fleet.FleetView
import io.tarragonport.core.gateway.fleet.LoadLedger
import io.tarragonport.core.gateway.fleet.VmRecord
import kotlin.time.TimeSource

/**
 * Keeps the load of all VMs at the servers for which this VM is the first in order, and passes on and asks for the load
 * at the others; used on the control thread only.
 *
 * VMs that disagree on the live VMs for a while ask a VM that keeps only a part of a server's load. Its answer is then
 * too low, as is that of a VM that has just taken a server over, until all VMs have repeated their loads.
 */
internal class LoadKeeper(
    private val vm: VmId,
    clock: TimeSource.WithComparableMarks,
    private val send: (address: String, PeerMessage) -> Unit,
) {
    private class Question(
        val sequence: Long,
        val answered: (Map<BackendServerId, ServerLoad>) -> Unit,
    )

    private val ledger = LoadLedger(clock)
    private var fleet = FleetView(vm)
    private var addresses: Map<VmId, String> = emptyMap()
    private val questions = ArrayDeque<Question>()
    private var lastSequence = 0L

    /** Updates the live VMs and their addresses. */
    fun updatePeers(live: List<VmRecord>) {
        addresses = live.associate { it.vm to it.peerAddress }
        fleet = FleetView(vm, addresses.keys)
    }

    /** Passes this VM's [loads] on to the VMs that keep them. */
    fun changed(loads: Map<BackendServerId, ServerLoad>) {
        if (!fleet.reportsAreLate) return
        loads.entries.groupBy { fleet.keeper(it.key) }.forEach { (keeper, group) ->
            val kept = group.associate { it.key to it.value }
            if (keeper == vm) ledger.update(vm, kept) else sendTo(keeper, PeerMessage.ServerLoadUpdate(shares(kept)))
        }
    }

    /** Asks for the load of the other VMs at [servers]; [answered] is called for each answer. */
    fun ask(
        servers: List<BackendServerId>,
        answered: (Map<BackendServerId, ServerLoad>) -> Unit,
    ) = servers.groupBy(fleet::keeper).forEach { (keeper, group) ->
        if (keeper == vm) {
            answered(group.associateWith { ledger.others(it, vm) })
        } else {
            questions.addLast(Question(++lastSequence, answered))
            if (questions.size > MAXIMUM_QUESTIONS) questions.removeFirst()
            sendTo(keeper, PeerMessage.ServerLoadRequest(lastSequence, group))
        }
    }

    /** Handles a message from the VM [from]; returns false if it is not for this class. */
    fun receive(
        from: VmId,
        message: PeerMessage,
    ): Boolean {
        when (message) {
            is PeerMessage.ServerLoadUpdate -> {
                ledger.update(from, loads(message.loads))
            }

            is PeerMessage.ServerLoadRequest -> {
                val loads = message.servers.associateWith { ledger.others(it, from) }
                sendTo(from, PeerMessage.ServerLoadAnswer(message.sequence, shares(loads)))
            }

            is PeerMessage.ServerLoadAnswer -> {
                val question = questions.find { it.sequence == message.sequence } ?: return true
                questions.remove(question)
                question.answered(loads(message.loads))
            }

            else -> {
                return false
            }
        }
        return true
    }

    private fun sendTo(
        receiver: VmId,
        message: PeerMessage,
    ) {
        addresses[receiver]?.let { send(it, message) }
    }

    private fun shares(loads: Map<BackendServerId, ServerLoad>): List<ServerLoadShare> =
        loads.map { (id, load) -> ServerLoadShare(id, load.inFlight, load.unprocessedTokens) }

    private fun loads(shares: List<ServerLoadShare>): Map<BackendServerId, ServerLoad> =
        shares.associate { it.server to ServerLoad(it.inFlight, it.unprocessedTokens) }

    private companion object {
        /** Questions that may be unanswered; the oldest are those of VMs that do not respond. */
        const val MAXIMUM_QUESTIONS = 256
    }
}
