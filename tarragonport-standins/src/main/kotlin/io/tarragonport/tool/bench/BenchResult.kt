package io.tarragonport.tool.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Metrics of one run.
 *
 * A request is in time if it is complete before its deadline, with the first token within its target where the class
 * has one. Shares are between 0 and 1. [cost] is in units of the price of an ordinary server for one second.
 * [tierInversions] counts requests shed by a VM that had requests of a lower tier queued. [cheapHarm] is the share of
 * requests that were interrupted by the reclaim of a cheap server and then missed their deadline or target.
 */
@Serializable
data class BenchResult(
    val scenario: String,
    val policy: String,
    val deployment: String,
    val load: Double,
    val seed: Long,
    val requests: Int,
    val attainment: Map<String, Double>,
    @SerialName("goodput_per_second") val goodput: Double,
    @SerialName("wasted_work_share") val wastedWork: Double,
    @SerialName("wasted_work_share_by_class") val wastedByClass: Map<String, Double>,
    @SerialName("repeated_work_share") val repeatedWork: Double,
    @SerialName("starts_per_request") val startsPerRequest: Map<String, Double>,
    @SerialName("worst_organisation_share") val worstOrganisation: Double,
    @SerialName("cost_per_in_time_answer") val cost: Double,
    @SerialName("cheap_work_share") val cheapWork: Double,
    @SerialName("cheap_harm") val cheapHarm: Double,
    val sheds: Map<String, Int>,
    val refusals: Map<String, Int>,
    @SerialName("tier_inversions") val tierInversions: Int,
    @SerialName("longest_gap_seconds") val longestGap: Map<String, Double>,
    @SerialName("first_token_ms") val firstToken: Map<String, Percentiles>,
    @SerialName("between_tokens_ms") val betweenTokens: Percentiles,
    @SerialName("server_crashes") val crashes: Int,
)
