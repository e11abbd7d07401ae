package io.tarragonport.daemon

import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.status.DecisionTrace
import io.tarragonport.api.status.TraceStep
import io.tarragonport.daemon.dispatch.RequestEvents
import io.tarragonport.daemon.dispatch.RequestTrace
import io.tarragonport.daemon.dispatch.TraceEntry

/** Converts a recorded trace into the response of the operator endpoint. */
internal object TraceResponse {
    fun of(
        vm: VmId,
        trace: RequestTrace,
    ) = DecisionTrace(RequestId(trace.requestId), vm, trace.entries.map(::step))

    private fun step(entry: TraceEntry) =
        TraceStep(
            atMs = entry.atMs,
            event = RequestEvents.ALL.find { it.name == entry.event }?.number ?: UNKNOWN_EVENT,
            name = entry.event,
            detail = detail(entry),
        )

    private fun detail(entry: TraceEntry): String {
        val candidates = entry.candidates.joinToString(",").ifEmpty { "-" }
        return "choice=${entry.choice} candidates=$candidates reason=${entry.reason}"
    }

    private const val UNKNOWN_EVENT = 0
}
