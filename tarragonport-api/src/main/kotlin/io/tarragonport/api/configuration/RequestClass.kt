package io.tarragonport.api.configuration

import io.tarragonport.api.id.RequestClassId
import kotlinx.serialization.Serializable

/**
 * A request class with its service level.
 *
 * Times are in milliseconds. [firstTokenMs] and [betweenTokensMs] are latency objectives for streamed responses;
 * [deadlineMs] limits the time to the complete response. A request of a class with [repeatable] false runs at most once
 * for each idempotency key within [retentionHours]. Streams of a class with [resumable] true may be resumed on another
 * server. [floorShare] is the minimum share of request starts that the class receives in any window of
 * [floorWindowSeconds] while it has queued requests. [longOutput] excludes the class from slots reserved for short
 * requests.
 */
@Serializable
data class RequestClass(
    val id: RequestClassId,
    val tier: Tier,
    val firstTokenMs: Long? = null,
    val betweenTokensMs: Long? = null,
    val deadlineMs: Long,
    val repeatable: Boolean = true,
    val resumable: Boolean = true,
    val longOutput: Boolean = false,
    val floorShare: Double = DEFAULT_FLOOR_SHARE,
    val floorWindowSeconds: Int = DEFAULT_FLOOR_WINDOW_SECONDS,
    val retentionHours: Int = DEFAULT_RETENTION_HOURS,
) {
    companion object {
        const val DEFAULT_FLOOR_SHARE = 0.05
        const val DEFAULT_FLOOR_WINDOW_SECONDS = 60
        const val DEFAULT_RETENTION_HOURS = 24
    }
}
