package io.tarragonport.daemon.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.error.RequestError
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.core.configuration.Configuration

/**
 * Identifies the caller by the digest of the key in the `Authorization` header. The body, the query, other headers and
 * earlier requests of the connection are not considered.
 */
object Authenticator {
    private const val SCHEME = "Bearer "

    /** Identifies the caller by the values of all `Authorization` [headers]; without any, the caller has no key. */
    fun identify(
        configuration: Configuration,
        headers: List<String>,
    ): Either<RequestError, CallerIdentity> {
        if (headers.size > 1) return RequestErrors.keyHeaderRepeated.left()
        val header = headers.firstOrNull() ?: return CallerIdentity(null, null).right()
        if (!header.startsWith(SCHEME, ignoreCase = true)) return RequestErrors.keyMalformed.left()
        val text = header.substring(SCHEME.length).trim()
        if (text.isEmpty()) return RequestErrors.keyMalformed.left()
        val record = configuration.key(KeyDigest.of(text)) ?: return RequestErrors.keyUnknown.left()
        if (record.withdrawn) return RequestErrors.keyWithdrawn.left()
        return CallerIdentity(record, CallerKey(text)).right()
    }
}
