package io.tarragonport.api.gateway

/**
 * The prompt of a request to a model engine.
 *
 * [parts] are in order; requests share leading parts, and an engine keeps in its cache what it has read. [outputLimit]
 * is the largest number of generated tokens.
 */
data class PromptShape(
    val model: String,
    val promptTokens: Int,
    val outputLimit: Int,
    val parts: List<PromptPart>,
) {
    /** The parts that other requests may share: all but the last. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)
}
