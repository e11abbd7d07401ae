package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestId
import kotlin.time.ComparableTimeMark

/**
 * A request that waits for a slot of a backend server or occupies one.
 *
 * [arrival] and [deadline] are marks of the runtime's clock. [promptTokens] is counted or estimated at arrival,
 * [maximumOutputTokens] is the caller's limit of the output.
 * [prefixBlocks] are digests of the prompt's leading blocks, longest common prefix first. [resumedTokens] is the number
 * of tokens delivered by earlier servers, [failedServers] the servers on which this request already failed.
 * [fingerprint] identifies class, organisation and body.
 */
data class PendingRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val organisationWeight: Int,
    val requestClass: RequestClass,
    val pool: PoolId,
    val arrival: ComparableTimeMark,
    val deadline: ComparableTimeMark,
    val promptTokens: Int,
    val maximumOutputTokens: Int?,
    val prefixBlocks: List<String> = emptyList(),
    val resumedTokens: Int = 0,
    val failedServers: Set<BackendServerId> = emptySet(),
    val fingerprint: String = "",
)
