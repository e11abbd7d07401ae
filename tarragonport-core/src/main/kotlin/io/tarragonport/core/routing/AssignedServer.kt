package io.tarragonport.core.routing

import io.tarragonport.core.admission.ServerStatus

/** A server that this VM uses; [vmCount] VMs send to it, including this one. */
data class AssignedServer(
    val status: ServerStatus,
    val vmCount: Int,
)
