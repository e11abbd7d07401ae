package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Tier

/** Rejects classes and weights with an unattainable or inconsistent service level. */
object ConsistentServiceLevels : ValidationRule {
    private const val MAXIMUM_FLOOR_SUM = 0.5

    override fun check(document: ConfigurationDocument): List<Problem> {
        val collector = ProblemCollector("classes")
        document.classes.forEachIndexed { index, requestClass -> checkClass(collector, index, requestClass) }
        checkFloors(collector, document.classes)
        return weights(document) + collector.problems()
    }

    private fun checkClass(
        collector: ProblemCollector,
        index: Int,
        requestClass: RequestClass,
    ) {
        val tier = requestClass.tier
        collector.require(tier >= Tier.HIGHEST && tier <= Tier.LOWEST, index, "tier") { "tier $tier is not 1 to 4" }
        collector.require(requestClass.deadlineMs > 0, index, "deadline_ms") { "deadline_ms must be positive" }
        val firstToken = requestClass.firstTokenMs
        collector.require(firstToken == null || firstToken > 0, index, "first_token_ms") {
            "first_token_ms must be positive"
        }
        collector.require(firstToken == null || firstToken <= requestClass.deadlineMs, index, "first_token_ms") {
            "first_token_ms $firstToken is after the deadline of ${requestClass.deadlineMs} ms"
        }
        val betweenTokens = requestClass.betweenTokensMs
        collector.require(betweenTokens == null || betweenTokens > 0, index, "between_tokens_ms") {
            "between_tokens_ms must be positive"
        }
        collector.require(requestClass.repeatable || !requestClass.resumable, index, "resumable") {
            "a class that is not repeatable cannot be resumable"
        }
        collector.require(requestClass.floorShare in 0.0..MAXIMUM_FLOOR_SUM, index, "floor_share") {
            "floor_share ${requestClass.floorShare} is not between 0 and $MAXIMUM_FLOOR_SUM"
        }
        collector.require(requestClass.floorWindowSeconds > 0, index, "floor_window_seconds") {
            "floor_window_seconds must be positive"
        }
        collector.require(requestClass.retentionHours > 0, index, "retention_hours") {
            "retention_hours must be positive"
        }
    }

    private fun checkFloors(
        collector: ProblemCollector,
        classes: List<RequestClass>,
    ) {
        val sum = classes.sumOf { it.floorShare }
        collector.require(
            sum <= 1.0,
            0,
            "floor_share",
        ) { "the floor shares of all classes add up to $sum, more than 1" }
    }

    private fun weights(document: ConfigurationDocument): List<Problem> {
        val collector = ProblemCollector("organisations")
        document.organisations.forEachIndexed { index, organisation ->
            collector.require(organisation.weight > 0, index, "weight") { "weight must be positive" }
        }
        return collector.problems()
    }
}
