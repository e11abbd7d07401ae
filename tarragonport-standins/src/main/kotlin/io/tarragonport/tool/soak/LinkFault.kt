package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.LoopbackLink

/** What can be wrong with a link for a while; connections that lost bytes are reset when it ends. */
internal enum class LinkFault(
    val begin: (LoopbackLink) -> Unit,
    val end: (LoopbackLink) -> Unit,
) {
    CUT({ it.cut = true }, { it.cut = false }),
    SILENT({ it.requestsSilent = true }, {
        it.requestsSilent = false
        it.reset()
    }),
    ONE_WAY({ it.answersSilent = true }, {
        it.answersSilent = false
        it.reset()
    }),
    SLOW({ it.delayMs = SLOW_MS }, { it.delayMs = 0 }),
    RESET({ it.reset() }, { }),
}

/** Two hundred times the usual time of a call to the store. */
private const val SLOW_MS = 300L
