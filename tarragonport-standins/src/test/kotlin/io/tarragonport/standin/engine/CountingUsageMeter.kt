package io.tarragonport.standin.engine

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.daemon.usage.UsageMeter
import java.util.concurrent.ConcurrentHashMap

/** Sums up usage by organisation, in memory. */
class CountingUsageMeter : UsageMeter {
    data class Sum(
        val promptTokens: Long = 0,
        val generatedTokens: Long = 0,
        val requests: Long = 0,
    )

    private val sums = ConcurrentHashMap<OrganisationId, Sum>()

    fun of(organisation: String): Sum = sums[OrganisationId(organisation)] ?: Sum()

    override fun add(
        organisation: OrganisationId,
        promptTokens: Long,
        generatedTokens: Long,
        requests: Long,
    ) {
        sums.merge(organisation, Sum(promptTokens, generatedTokens, requests)) { a, b ->
            Sum(a.promptTokens + b.promptTokens, a.generatedTokens + b.generatedTokens, a.requests + b.requests)
        }
    }
}
