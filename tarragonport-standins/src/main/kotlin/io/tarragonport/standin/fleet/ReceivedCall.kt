package io.tarragonport.standin.fleet

/** A request received by a scripted backend server; header names are lower-case, [number] counts from zero. */
class ReceivedCall(
    val method: String,
    val target: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val number: Int,
)
