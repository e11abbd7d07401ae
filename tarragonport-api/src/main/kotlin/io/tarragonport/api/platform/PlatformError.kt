package io.tarragonport.api.platform

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration

/** Why a call to the platform did not succeed. */
sealed interface PlatformError {
    /** No usable answer; a write may or may not have taken effect. */
    data class Unavailable(
        val reason: String,
    ) : PlatformError

    /**
     * The condition of a conditional update did not hold; [current] is the version found, null if the object does not
     * exist.
     */
    data class Conflict(
        val current: ObjectVersion?,
    ) : PlatformError

    /** A lower fencing number than one seen before, or a usage figure that differs from the one reported. */
    data class Refused(
        val message: String,
    ) : PlatformError

    /**
     * The platform understood and rejected the call: too large, malformed or rate-limited. [retryAfter] is the wait
     * that it asks for.
     */
    data class Rejected(
        val status: Int,
        val message: String,
        val retryAfter: Duration? = null,
    ) : PlatformError

    /** A watch asked for changes that the platform has discarded; everything has to be listed again. */
    data object HistoryExpired : PlatformError
}
