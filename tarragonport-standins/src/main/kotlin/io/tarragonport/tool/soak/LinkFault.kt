package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.LoopbackLink

/** Temporary faults of a link. Connections on which data was discarded are reset when the fault ends. */
internal enum class LinkFault(
    val begin: (LoopbackLink) -> Unit,
    val end: (LoopbackLink) -> Unit,
) {
    CUT({ it.cut = true }, { it.cut = false }),

    /** The client can connect, but its requests do not arrive. */
    SILENT({ it.discardRequests = true }, {
        it.discardRequests = false
        it.reset()
    }),

    /** Requests arrive, but responses are lost. */
    ONE_WAY({ it.discardResponses = true }, {
        it.discardResponses = false
        it.reset()
    }),

    /** Each block of data is delayed in both directions. */
    SLOW({ it.delayMs = SLOW_MS }, { it.delayMs = 0 }),

    /** Open connections are reset once. */
    RESET({ it.reset() }, { }),
}

/** Two hundred times the usual duration of a call to the store. */
private const val SLOW_MS = 300L
