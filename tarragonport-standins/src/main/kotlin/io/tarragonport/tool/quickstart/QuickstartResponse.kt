package io.tarragonport.tool.quickstart

/** A response with the VM and the backend server that produced it. */
data class QuickstartResponse(
    val status: Int,
    val body: String,
    val vm: String,
    val server: String,
)
