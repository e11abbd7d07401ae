package io.tarragonport.tool.bench

/** Durations of the steps of a simulated engine. A decode step with a batch of eight requests takes about 22 ms. */
object EngineCosts {
    /** Duration of a step without its tokens. */
    const val STEP_BASE_MS = 12.0
    const val DECODE_MS_PER_REQUEST = 1.2
    const val PREFILL_MS_PER_TOKEN = 0.05

    /** Maximum of prompt and generated tokens in one step; limits how long a prefill delays concurrent streams. */
    const val MAXIMUM_STEP_TOKENS = 256

    /** Largest number of requests in a batch. */
    const val SLOTS = 8
    const val BLOCK_TOKENS = 256
    const val CACHE_CAPACITY_BLOCKS = 200

    /** Engine milliseconds for one generated token when the batch is full. */
    const val FULL_BATCH_DECODE_MS = STEP_BASE_MS / SLOTS + DECODE_MS_PER_REQUEST

    /** Engine milliseconds of a request when the batch is full. */
    fun work(
        promptTokens: Int,
        outputTokens: Int,
    ): Double = promptTokens * PREFILL_MS_PER_TOKEN + outputTokens * FULL_BATCH_DECODE_MS
}
