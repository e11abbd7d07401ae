package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument

/** Rejects limits that are not positive, have no value, or are duplicates for an organisation and key. */
object ValidLimits : ValidationRule {
    override fun check(document: ConfigurationDocument): List<Problem> {
        val collector = ProblemCollector("limits")
        document.limits.forEachIndexed { index, limit ->
            val requests = limit.requestsPerMinute
            val tokens = limit.tokensPerMinute
            collector.require(requests == null || requests > 0, index, "requests_per_minute") { "must be positive" }
            collector.require(tokens == null || tokens > 0, index, "tokens_per_minute") { "must be positive" }
            collector.require(requests != null || tokens != null, index, "organisation") {
                "requests_per_minute or tokens_per_minute is required"
            }
            val first = document.limits.indexOfFirst { it.organisation == limit.organisation && it.key == limit.key }
            collector.require(first == index, index, "organisation") {
                "entry $first has the same organisation and key"
            }
        }
        return collector.problems()
    }
}
