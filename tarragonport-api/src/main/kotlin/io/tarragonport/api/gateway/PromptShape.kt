package io.tarragonport.api.gateway

/**
 * The prompt of a request to a model engine.
 *
 * [parts] are in prompt order. Requests can share leading parts, and an engine caches the parts that it has processed.
 * [outputLimit] is the maximum number of generated tokens.
 */
data class PromptShape(
    val model: String,
    val promptTokens: Int,
    val outputLimit: Int,
    val parts: List<PromptPart>,
) {
    /** The parts that other requests can share: all but the last. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)

    /** The id of the part that belongs to the request or its session; null if no parts are declared. */
    val session: String? get() = parts.lastOrNull()?.id

    /** The work of the request in prompt tokens; an engine spends as long on a generated token as on several of those. */
    val work: Double get() = promptTokens + outputLimit * GENERATED_TOKEN_WORK

    private companion object {
        const val GENERATED_TOKEN_WORK = 10.0
    }
}
