package io.tarragonport.daemon.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.core.usage.OrganisationUsage
import io.tarragonport.core.usage.UsageTotals
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock

/** Counts in memory, one immutable book for each organisation; safe to call from any thread. */
class OrganisationMeter(
    private val clock: Clock,
) : UsageMeter {
    private val books = ConcurrentHashMap<OrganisationId, OrganisationUsage>()

    override fun add(
        organisation: OrganisationId,
        promptTokens: Long,
        generatedTokens: Long,
        requests: Long,
    ) {
        val amount = UsageTotals(promptTokens, generatedTokens, requests)
        val window = currentWindow()
        books.compute(organisation) { _, book -> (book ?: OrganisationUsage()).add(window, amount) }
    }

    /** The books of all organisations; each is consistent in itself. */
    fun snapshot(): Map<OrganisationId, OrganisationUsage> = HashMap(books)

    /** Removes [flushed] from the counts, because an object that is never written again contains it. */
    fun remove(flushed: Map<OrganisationId, UsageTotals>) {
        flushed.forEach { (organisation, totals) ->
            books.computeIfPresent(organisation) { _, book -> book.without(totals) }
        }
    }

    private fun currentWindow() = UsageWindow(clock.now().epochSeconds / UsageWindow.LENGTH_SECONDS)
}
