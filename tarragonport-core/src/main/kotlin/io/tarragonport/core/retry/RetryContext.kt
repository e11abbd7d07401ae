package io.tarragonport.core.retry

import io.tarragonport.api.configuration.RequestClass

/**
 * The facts that determine whether a failed request may run again.
 *
 * [sentBefore] is set if an earlier attempt may have written bytes to a server. [receivedTokens] is the number of
 * response tokens received, [deliveredTokens] how many of them were delivered to the caller. [attempts] is the number
 * of attempts so far. [markedAsRetry] is set if the sender marked the request as a retry of its own, [serverCrashed] if
 * the server crashed.
 */
data class RetryContext(
    val requestClass: RequestClass,
    val failure: AttemptFailure,
    val attempts: Int,
    val sentBefore: Boolean = false,
    val receivedTokens: Int = 0,
    val deliveredTokens: Int = 0,
    val markedAsRetry: Boolean = false,
    val deadlinePassed: Boolean = false,
    val serverCrashed: Boolean = false,
)
