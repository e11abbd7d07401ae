package io.tarragonport.daemon.usage

import io.tarragonport.api.id.OrganisationId

/** Counts tokens for billing as they arrive from backend servers; safe to call from any thread. */
interface UsageMeter {
    /** Adds tokens and requests of [organisation] to the current window. */
    fun add(
        organisation: OrganisationId,
        promptTokens: Long,
        generatedTokens: Long,
        requests: Long,
    )
}
