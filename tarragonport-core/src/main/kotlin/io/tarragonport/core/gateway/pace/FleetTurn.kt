package io.tarragonport.core.gateway.pace

/** Position [rank] of a VM among [vms] VMs in the order that all of them compute for one server; 0 is the first. */
data class FleetTurn(
    val rank: Int,
    val vms: Int,
)
