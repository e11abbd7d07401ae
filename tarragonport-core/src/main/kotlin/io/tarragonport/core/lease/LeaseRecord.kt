package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Content of a lease object; [holder] is null after a release.
 *
 * [attempt] numbers the writes of one process. A process recognises by it which of its writes took effect when answers
 * were lost.
 */
@Serializable
data class LeaseRecord(
    val holder: VmId?,
    val incarnation: Incarnation,
    @SerialName("fencingNumber")
    val fencingToken: FencingToken,
    val durationMs: Long,
    val attempt: Long,
) {
    fun ownedBy(owner: LeaseOwner): Boolean = holder == owner.vm && incarnation == owner.incarnation
}
