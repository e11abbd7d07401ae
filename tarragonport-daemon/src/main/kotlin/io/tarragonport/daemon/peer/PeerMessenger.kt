package io.tarragonport.daemon.peer

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import kotlin.time.Duration

/** Lets control loops exchange messages with peers; for use on the control dispatcher. */
interface PeerMessenger {
    /** Other VMs that should exist, also those believed dead: a cut-off VM believes that all others are dead. */
    val expectedPeers: Int

    /** Other VMs that did not leave but are believed dead. */
    val deadPeers: Int

    /** Other VMs that announced that they leave. */
    val leftPeers: Set<VmId>

    /** Time since a message of any peer arrived; infinite if none has. */
    fun sinceLastMessage(): Duration

    /** Sends [message] to [to] if it is known; the message can be lost. */
    fun send(
        to: VmId,
        message: PeerMessage,
    )

    /** Has [handler] receive all further messages. */
    fun addHandler(handler: PeerMessageHandler)

    /** Sets the section versions that go with every probe, in the order of `SectionName.ALL`. */
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
