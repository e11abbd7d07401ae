package io.tarragonport.api.platform

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An order to the backend server interface; [server] is null for [ServerOrderKind.START]. [holder] is the VM that
 * believes it holds the lease.
 */
@Serializable
data class ServerOrder(
    val orderId: OrderId,
    @SerialName("fencingNumber")
    val fencingToken: FencingToken,
    val holder: VmId,
    val kind: ServerOrderKind,
    val pool: PoolId,
    val server: BackendServerId? = null,
    val cheap: Boolean = false,
)
