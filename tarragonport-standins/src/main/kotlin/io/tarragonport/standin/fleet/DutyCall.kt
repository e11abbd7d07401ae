package io.tarragonport.standin.fleet

/** A platform call that only the leaseholder may make; [fencing] is its fencing token. */
data class DutyCall(
    val path: String,
    val holder: String,
    val fencing: Long,
    val body: String,
)
