package io.tarragonport.daemon.gateway.ingress

/** Response of the status server. */
internal class StatusResponse(
    val status: Int,
    val text: String,
)
