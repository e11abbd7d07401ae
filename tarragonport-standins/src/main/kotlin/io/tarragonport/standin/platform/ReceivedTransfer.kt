package io.tarragonport.standin.platform

import io.tarragonport.platform.TransferRequest
import kotlinx.serialization.Serializable

/** A weight transfer request received [atMs] after the start of the stand-in, with the [status] of the response. */
@Serializable
data class ReceivedTransfer(
    val atMs: Long,
    val model: String,
    val request: TransferRequest,
    val status: Int,
)
