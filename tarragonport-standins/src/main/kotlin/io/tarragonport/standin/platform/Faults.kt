package io.tarragonport.standin.platform

import kotlinx.serialization.Serializable

/**
 * Faults of one interface.
 *
 * With [unavailable] every call gets status 503 and has no effect. [delayMs] delays the handling of each call.
 * [loseAnswerShare] is the share of writes that take effect but whose connection breaks before the response. [lagMs] is
 * the delay with which the inventory, the VM list and watches show changes. With [watchStuck] watches get no response.
 */
@Serializable
data class Faults(
    val unavailable: Boolean = false,
    val delayMs: Long = 0,
    val loseAnswerShare: Double = 0.0,
    val lagMs: Long = 0,
    val watchStuck: Boolean = false,
)
