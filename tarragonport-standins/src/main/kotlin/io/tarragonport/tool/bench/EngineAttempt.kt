package io.tarragonport.tool.bench

import io.tarragonport.core.admission.DispatchOutcome

/** One attempt to execute a request on an engine. [onToken] and [onEnd] are callbacks of the VM that sent it. */
class EngineAttempt(
    val request: BenchRequest,
    val prefixBlocks: List<String>,
    val resumedTokens: Int,
    val startedAtNanos: Long,
    val onToken: (generatedTokens: Int) -> Unit,
    val onEnd: (outcome: DispatchOutcome, generatedTokens: Int) -> Unit,
) {
    var remainingPrefillTokens = request.original.promptTokens + resumedTokens
    var generatedTokens = 0

    /** True once the engine has moved the attempt from its queue to the batch. */
    var admitted = false
    var finished = false

    val remainingOutputTokens: Int
        get() = request.outputTokens - resumedTokens - generatedTokens
}
