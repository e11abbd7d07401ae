package io.tarragonport.daemon.caller

import io.tarragonport.api.backend.EngineMessage

/** Fields of a request that depend on its kind (chat or service call), as input to its preparation. */
class RequestDraft(
    val bodyDigest: String,
    val promptTokens: Int = 0,
    val maximumOutputTokens: Int? = null,
    val model: String = "",
    val messages: List<EngineMessage> = emptyList(),
)
