package io.tarragonport.tool.fault

import kotlin.time.ComparableTimeMark

/**
 * The outcome of one request for its caller.
 *
 * [marker] identifies the request and is part of its body. [complete] is true if a complete response arrived, [correct]
 * if the text that arrived is the one that the engine must generate or a prefix of it, [connectionLost] if the
 * connection ended without a complete response or an error.
 *
 * [error] is the kind of the error response, or the name of the exception if there was no response. [executionStatus]
 * is the field `ran` of the error response.
 */
data class CallRecord(
    val kind: String,
    val marker: String,
    val vm: String,
    val start: ComparableTimeMark,
    val end: ComparableTimeMark,
    val status: Int,
    val complete: Boolean,
    val correct: Boolean,
    val connectionLost: Boolean,
    val error: String?,
    val executionStatus: String?,
    val idempotencyKey: String? = null,
)
