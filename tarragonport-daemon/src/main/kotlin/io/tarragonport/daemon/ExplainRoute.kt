package io.tarragonport.daemon

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.VmId
import io.tarragonport.api.status.DecisionTrace
import io.tarragonport.daemon.dispatch.TraceSource

/** `GET /operator/explain/{request}`: the decisions that this VM recorded for a request. */
internal fun Routing.explainRoute(
    vm: VmId,
    traces: TraceSource,
) {
    get("/operator/explain/{request}") {
        val trace = traces.trace(call.parameters["request"].orEmpty())
        if (trace == null) {
            call.respondText("no decisions are kept about this request", status = HttpStatusCode.NotFound)
        } else {
            val text = WireJson.encodeToString(DecisionTrace.serializer(), TraceResponse.of(vm, trace))
            call.respondText(text, ContentType.Application.Json)
        }
    }
}
