package io.tarragonport.api.platform

import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration

/** Why a call to the platform did not succeed. */
sealed interface PlatformError {
    /** No valid response was received; a write may or may not have taken effect. */
    data class Unavailable(
        val reason: String,
    ) : PlatformError

    /**
     * The condition of a conditional write was not met; [current] is the object's actual version, null if it does not
     * exist.
     */
    data class Conflict(
        val current: ObjectVersion?,
    ) : PlatformError

    /**
     * The platform refused the call: the fencing token is stale, a usage report differs from the one already accepted,
     * or the users' platform has no server available. Also the result if the `permitted` callback of a call returned
     * false, so that nothing was sent.
     */
    data class Refused(
        val message: String,
    ) : PlatformError

    /**
     * The platform rejected the call as too large, malformed or rate-limited. [retryAfter] is the wait that it
     * requests.
     */
    data class Rejected(
        val status: Int,
        val message: String,
        val retryAfter: Duration? = null,
    ) : PlatformError

    /** A watch requested changes that the platform no longer keeps; the objects have to be listed again. */
    data object HistoryExpired : PlatformError
}
