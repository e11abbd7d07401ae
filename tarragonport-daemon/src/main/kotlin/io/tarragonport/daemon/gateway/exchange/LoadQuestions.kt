package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.gateway.balance.ServerLoad

/** Exchanges the load at single servers with the VMs that keep it; called by the traffic thread. */
internal interface LoadQuestions {
    /** Passes on this VM's load at servers at which it has changed. */
    fun changed(loads: Map<BackendServerId, ServerLoad>)

    /**
     * Asks for the load of the other VMs at [servers]. [answered] is called on the traffic thread for each group of
     * servers that another VM keeps, when its answer arrives; it is not called for an answer that never comes.
     */
    fun ask(
        servers: List<BackendServerId>,
        answered: (Map<BackendServerId, ServerLoad>) -> Unit,
    )
}
