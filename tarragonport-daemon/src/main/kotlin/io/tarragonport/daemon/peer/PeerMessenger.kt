package io.tarragonport.daemon.peer

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import kotlin.time.Duration

/** Exchanges messages of control loops with peers; for use on the control dispatcher only. */
interface PeerMessenger {
    /** Number of other VMs that should exist. Includes dead ones, because a partitioned VM sees all others as dead. */
    val expectedPeers: Int

    /** Number of other VMs that are considered dead and did not announce their leave. */
    val deadPeers: Int

    /** Other VMs that announced their leave. */
    val leftPeers: Set<VmId>

    /** Time since the last message of any peer; infinite if there was none. */
    fun sinceLastMessage(): Duration

    /** Sends [message] to [to] if it is a member; the message can be lost. */
    fun send(
        to: VmId,
        message: PeerMessage,
    )

    /** Registers [handler] for all further messages. */
    fun addHandler(handler: PeerMessageHandler)

    /** Sets the configuration section versions sent with every probe, in the order of `SectionName.ALL`. */
    fun announceVersions(versions: List<Long>)

    /** For a VM without peers. */
    object None : PeerMessenger {
        override val expectedPeers: Int = 0
        override val deadPeers: Int = 0
        override val leftPeers: Set<VmId> = emptySet()

        override fun sinceLastMessage(): Duration = Duration.INFINITE

        override fun send(
            to: VmId,
            message: PeerMessage,
        ) = Unit

        override fun addHandler(handler: PeerMessageHandler) = Unit

        override fun announceVersions(versions: List<Long>) = Unit
    }
}
