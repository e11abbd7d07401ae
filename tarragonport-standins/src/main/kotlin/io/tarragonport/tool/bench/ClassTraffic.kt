package io.tarragonport.tool.bench

import io.tarragonport.api.configuration.RequestClass

/**
 * Traffic of one request class: its [share] of all requests and its median token counts. The first [sharedBlocks]
 * blocks of a prompt are the same for all requests of an organisation that use the same template. [quick] is true for
 * the class of short interactive chats, whose results the table and the charts show first.
 */
class ClassTraffic(
    val requestClass: RequestClass,
    val share: Double,
    val promptTokens: Int,
    val outputTokens: Int,
    val sharedBlocks: Int,
    val quick: Boolean = false,
) {
    /** Mean engine milliseconds of a request. Output lengths are log-normal, so their mean exceeds their median. */
    val meanWork: Double
        get() = EngineCosts.work(promptTokens, (outputTokens * MEAN_OVER_MEDIAN).toInt())

    companion object {
        /** Standard deviation of the logarithm of the output length. */
        const val OUTPUT_SIGMA = 0.6

        /** Ratio of mean to median of the output length: exp(0.6² / 2). */
        const val MEAN_OVER_MEDIAN = 1.197

        /** Standard deviation of the logarithm of the prompt length. */
        const val PROMPT_SIGMA = 0.25
    }
}
