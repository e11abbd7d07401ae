package io.tarragonport.daemon.gateway.ingress

/** Answer of the status server. */
internal class StatusAnswer(
    val status: Int,
    val text: String,
)
