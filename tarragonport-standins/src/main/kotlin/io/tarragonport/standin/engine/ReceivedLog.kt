package io.tarragonport.standin.engine

import kotlinx.serialization.Serializable

/** Response of an engine stand-in to `GET /control/received`. */
@Serializable
data class ReceivedLog(
    val server: String,
    val requests: List<ReceivedRequest>,
    val orders: List<ReceivedModelOrder>,
    val tokensGenerated: Long,
    val cancelled: List<String>,
)
