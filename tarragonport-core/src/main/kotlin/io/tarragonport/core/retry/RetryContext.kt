package io.tarragonport.core.retry

import io.tarragonport.api.configuration.RequestClass

/**
 * Everything that decides whether a failed request may run again.
 *
 * [sentBefore] tells that an earlier run of the request may have written bytes, [receivedTokens] how many tokens of the
 * answer are held, [deliveredTokens] how many of them the caller has already seen. [attempts] counts the runs so far,
 * [markedAsRetry] is set if the request arrived as somebody else's retry, [serverCrashed] if the server is gone.
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
