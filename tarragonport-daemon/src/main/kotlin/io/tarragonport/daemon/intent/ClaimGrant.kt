package io.tarragonport.daemon.intent

/** Permission to send one request once; [digest] identifies organisation and idempotency key, [attempt] this claim. */
data class ClaimGrant(
    val digest: String,
    val attempt: String,
)
