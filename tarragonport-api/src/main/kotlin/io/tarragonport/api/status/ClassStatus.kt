package io.tarragonport.api.status

import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.RequestClassId
import kotlinx.serialization.Serializable

/** Request counts of one class on one VM since process start; [inTime] counts requests that met all its objectives. */
@Serializable
data class ClassStatus(
    val id: RequestClassId,
    val tier: Tier,
    val completed: Long,
    val inTime: Long,
    val refused: Long,
    val failed: Long,
) {
    /** Share of completed, refused and failed requests that met their service level; null if there are none. */
    val attainment: Double?
        get() {
            val total = completed + refused + failed
            return if (total == 0L) null else inTime.toDouble() / total
        }
}
