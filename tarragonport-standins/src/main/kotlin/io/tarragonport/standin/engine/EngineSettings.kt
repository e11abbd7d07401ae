package io.tarragonport.standin.engine

/**
 * Capacity and speed of an engine stand-in.
 *
 * [slots] is the number of concurrent streams, [tokensPerSecond] the generation rate of each stream,
 * [prefillTokensPerSecond] the prefill rate for uncached prompt tokens, [cacheBlocks] the capacity of the prefix cache,
 * [transferTokensPerSecond] the rate at which KV cache is imported from other engines, [models] the models loaded at
 * startup (null: serves any model and reports none), and [loadMs] the time to load a model.
 */
data class EngineSettings(
    val id: String,
    val slots: Int = 8,
    val tokensPerSecond: Double = 50.0,
    val prefillTokensPerSecond: Double = 20_000.0,
    val cacheBlocks: Int = 4_096,
    val transferTokensPerSecond: Double = 400_000.0,
    val port: Int = 0,
    val models: List<String>? = null,
    val loadMs: Long = 0,
)
