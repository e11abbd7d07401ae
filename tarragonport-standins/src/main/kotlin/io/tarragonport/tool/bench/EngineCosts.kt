package io.tarragonport.tool.bench

/** Time model of an engine step; a decode step with a batch of eight takes about 22 ms. */
object EngineCosts {
    const val STEP_MS = 12.0
    const val DECODE_MS = 1.2
    const val PREFILL_MS_PER_TOKEN = 0.05

    /** Maximum of prompt and generated tokens in one step; limits how long a prefill delays concurrent streams. */
    const val STEP_TOKENS = 256
    const val SLOTS = 8
    const val BLOCK_TOKENS = 256
    const val CACHE_BLOCKS = 200

    /** Engine milliseconds for one generated token when the batch is full. */
    const val FULL_BATCH_DECODE_MS = STEP_MS / SLOTS + DECODE_MS

    /** Engine milliseconds of a request when the batch is full. */
    fun work(
        promptTokens: Int,
        outputTokens: Int,
    ): Double = promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * FULL_BATCH_DECODE_MS
}
