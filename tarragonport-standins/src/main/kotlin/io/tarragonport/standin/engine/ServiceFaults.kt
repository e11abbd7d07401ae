package io.tarragonport.standin.engine

import kotlinx.serialization.Serializable

/**
 * Faults of a service stand-in, set by `PUT /control/faults`.
 *
 * [delayMs] delays the execution of each call. [dropBefore] closes the connection without executing the call,
 * [dropAfter] after executing it. [rejectStatus] responds with that status without executing the call, [draining] with
 * 503 `draining`. [remaining] is the number of further calls affected by the faults; null means no limit. Once it
 * reaches zero only [delayMs] applies.
 */
@Serializable
data class ServiceFaults(
    val delayMs: Long = 0,
    val dropBefore: Boolean = false,
    val dropAfter: Boolean = false,
    val rejectStatus: Int? = null,
    val draining: Boolean = false,
    val remaining: Int? = null,
)
