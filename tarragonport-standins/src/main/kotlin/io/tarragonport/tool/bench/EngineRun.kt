package io.tarragonport.tool.bench

import io.tarragonport.core.admission.DispatchOutcome

/** A request at an engine. [tokenArrived] and [ended] go to the VM that sent it. */
class EngineRun(
    val request: BenchRequest,
    val blocks: List<String>,
    val resumedTokens: Int,
    val sequence: Long,
    val tokenArrived: (generated: Int) -> Unit,
    val ended: (outcome: DispatchOutcome, generated: Int) -> Unit,
) {
    var prefillLeft = request.first.promptTokens + resumedTokens
    var generated = 0
    var admitted = false
    var over = false

    val outputLeft: Int
        get() = request.outputTokens - resumedTokens - generated
}
