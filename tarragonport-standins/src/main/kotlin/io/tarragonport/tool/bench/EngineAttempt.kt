package io.tarragonport.tool.bench

import io.tarragonport.core.admission.DispatchOutcome

/** One attempt of a request on an engine. [onToken] and [onEnd] are callbacks of the VM that sent it. */
class EngineAttempt(
    val request: BenchRequest,
    val prefixBlocks: List<String>,
    val resumedTokens: Int,
    val startedAtNanos: Long,
    val onToken: (generated: Int) -> Unit,
    val onEnd: (outcome: DispatchOutcome, generated: Int) -> Unit,
) {
    var prefillLeft = request.original.promptTokens + resumedTokens
    var generated = 0
    var admitted = false
    var finished = false

    val outputLeft: Int
        get() = request.outputTokens - resumedTokens - generated
}
