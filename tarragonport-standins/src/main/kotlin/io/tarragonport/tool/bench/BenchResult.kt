package io.tarragonport.tool.bench

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Metrics of one run.
 *
 * A request is in time if it completes by its deadline and meets the first-token target of its class, if there is one.
 * Shares are between 0 and 1.
 *
 * - [attainment]: share of requests in time, by class
 * - [goodput]: requests in time per second
 * - [wastedWork]: share of the work done on requests that were not in time, or on repeated prefills
 * - [worstRelativeService]: see [FairShares.worstRelativeService]
 * - [costPerInTimeResponse]: in units of the price of an ordinary server for one second
 * - [missedAfterReclaim]: share of requests that were affected by the reclaim of a cheap server and were not in time
 * - [sheds] and [refusals]: requests shed by tier, and requests refused by error kind
 * - [tierInversions]: requests shed by a VM that had requests of a lower tier queued
 * - [longestGapSeconds]: longest time without service by class, see [ServiceGap]
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
    @SerialName("wasted_work_share_by_class") val wastedWorkByClass: Map<String, Double>,
    @SerialName("repeated_work_share") val repeatedWork: Double,
    @SerialName("starts_per_request") val startsPerRequest: Map<String, Double>,
    @SerialName("worst_organisation_share") val worstRelativeService: Double,
    @SerialName("cost_per_in_time_answer") val costPerInTimeResponse: Double,
    @SerialName("cheap_work_share") val cheapWork: Double,
    @SerialName("cheap_harm") val missedAfterReclaim: Double,
    val sheds: Map<String, Int>,
    val refusals: Map<String, Int>,
    @SerialName("tier_inversions") val tierInversions: Int,
    @SerialName("longest_gap_seconds") val longestGapSeconds: Map<String, Double>,
    @SerialName("first_token_ms") val firstTokenMs: Map<String, Percentiles>,
    @SerialName("between_tokens_ms") val interTokenMs: Percentiles,
    @SerialName("server_crashes") val serverCrashes: Int,
)
