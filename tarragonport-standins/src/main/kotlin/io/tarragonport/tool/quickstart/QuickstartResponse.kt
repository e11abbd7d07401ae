package io.tarragonport.tool.quickstart

/** An answer as the quickstart saw it, with the VM and the backend server that gave it. */
data class QuickstartAnswer(
    val status: Int,
    val body: String,
    val vm: String,
    val server: String,
)
