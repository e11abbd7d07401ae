package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.core.configuration.Configuration

/**
 * Finds out whose key came with a request, by its digest only. Nothing but the one `Authorization` header counts: not
 * the body, the query, another header or an earlier request of the connection.
 */
object Authorizer {
    private const val SCHEME = "Bearer "

    /** Judges all [headers] called `Authorization`; none of them is a caller without a key. */
    fun identify(
        configuration: Configuration,
        headers: List<String>,
    ): Either<RequestError, CallerIdentity> {
        if (headers.size > 1) return RequestErrors.keyTwice.left()
        val header = headers.firstOrNull() ?: return CallerIdentity(null, null).right()
        if (!header.startsWith(SCHEME, ignoreCase = true)) return RequestErrors.keyMalformed.left()
        val text = header.substring(SCHEME.length).trim()
        if (text.isEmpty()) return RequestErrors.keyMalformed.left()
        val record = configuration.key(KeyDigest.of(text)) ?: return RequestErrors.keyUnknown.left()
        if (record.withdrawn) return RequestErrors.keyWithdrawn.left()
        return CallerIdentity(record, CallerKey(text)).right()
    }
}
