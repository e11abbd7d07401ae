package io.tarragonport.standin.platform

import io.tarragonport.api.id.FailureDomainId
import kotlinx.serialization.Serializable

/**
 * Body of `PUT /control/reclaim`: removes the servers of a failure domain after a notice period.
 *
 * With [cheapOnly] only cheap servers are removed. With [sparesToo] servers of the removed kinds cannot be started in
 * the failure domain until `PUT /control/restore`.
 */
@Serializable
data class ReclaimRequest(
    val failureDomain: FailureDomainId,
    val noticeMs: Long,
    val cheapOnly: Boolean = true,
    val sparesToo: Boolean = true,
)
