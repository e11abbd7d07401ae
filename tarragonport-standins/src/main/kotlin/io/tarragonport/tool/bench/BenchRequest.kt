package io.tarragonport.tool.bench

import io.tarragonport.api.error.ErrorKind
import io.tarragonport.core.admission.PendingRequest

/**
 * One request of a run with its actual output length and its outcome. Times are nanoseconds of virtual time.
 *
 * [original] is the request as first submitted, before any retry or resumption.
 */
class BenchRequest(
    val original: PendingRequest,
    val outputTokens: Int,
    val poison: Boolean,
    val arrivedAt: Long,
    val deadlineAt: Long,
) {
    var firstTokenAt = NEVER
    var lastTokenAt = NEVER
    var completedAt = NEVER
    var deliveredTokens = 0
    var attempts = 0
    var errorKind: ErrorKind? = null
    var failed = false

    /** True if it was running or queued on a cheap server when the reclaim of that server was announced or executed. */
    var affectedByReclaim = false

    /** Engine milliseconds spent on this request: on all servers, on cheap servers, and on repeated prefills. */
    var work = 0.0
    var cheapWork = 0.0
    var repeatedWork = 0.0

    val classId: String
        get() = original.requestClass.id.value

    val tier: Int
        get() = original.requestClass.tier.value

    /** True if the request completed by its deadline and met the first-token target of its class, if there is one. */
    val inTime: Boolean
        get() = completedAt != NEVER && completedAt <= deadlineAt && firstTokenInTime

    private val firstTokenInTime: Boolean
        get() {
            val target = original.requestClass.firstTokenMs ?: return true
            return firstTokenAt - arrivedAt <= target * VirtualClock.NANOS_PER_MS
        }

    companion object {
        const val NEVER = Long.MAX_VALUE
    }
}
