package io.tarragonport.api.configuration

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import kotlinx.serialization.Serializable

/**
 * A pool of backend servers.
 *
 * [name] is the model or service that callers request. Members are [servers] and the servers that the backend server
 * interface lists for this pool. [slots] is the number of requests that one server runs concurrently. [minimumServers]
 * and [maximumServers] are the limits for placement; if both are zero, placement does not manage the pool.
 * [cheapAllowed] permits servers that can be reclaimed.
 */
@Serializable
data class Pool(
    val id: PoolId,
    val kind: PoolKind,
    val name: String,
    val servers: List<StaticServer> = emptyList(),
    val slots: Int = DEFAULT_SLOTS,
    val failureDomains: List<FailureDomainId> = emptyList(),
    val minimumServers: Int = 0,
    val maximumServers: Int = 0,
    val cheapAllowed: Boolean = false,
) {
    companion object {
        const val DEFAULT_SLOTS = 8
    }
}
