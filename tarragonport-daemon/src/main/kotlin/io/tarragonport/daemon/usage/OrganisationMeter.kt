package io.tarragonport.daemon.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.core.usage.OrganisationUsage
import io.tarragonport.core.usage.UsageTotals
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock

/** Counts usage in memory, in one immutable value per organisation; safe to call from any thread. */
class OrganisationMeter(
    private val clock: Clock,
) : UsageMeter {
    private val counts = ConcurrentHashMap<OrganisationId, OrganisationUsage>()

    override fun add(
        organisation: OrganisationId,
        promptTokens: Long,
        generatedTokens: Long,
        requests: Long,
    ) {
        val amount = UsageTotals(promptTokens, generatedTokens, requests)
        val window = currentWindow()
        counts.compute(organisation) { _, count -> (count ?: OrganisationUsage()).add(window, amount) }
    }

    /** Counts of all organisations. Each count is consistent, but the counts may be of slightly different times. */
    fun snapshot(): Map<OrganisationId, OrganisationUsage> = HashMap(counts)

    /** Subtracts [flushed] from the counts; an object that this process no longer writes contains these counts. */
    fun remove(flushed: Map<OrganisationId, UsageTotals>) {
        flushed.forEach { (organisation, totals) ->
            counts.computeIfPresent(organisation) { _, count -> count.without(totals) }
        }
    }

    private fun currentWindow() = UsageWindow(clock.now().epochSeconds / UsageWindow.LENGTH_SECONDS)
}
