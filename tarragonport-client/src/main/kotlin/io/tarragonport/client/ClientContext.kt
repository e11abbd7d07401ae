package io.tarragonport.client

import io.tarragonport.api.platform.ObjectStore
import java.io.PrintStream
import kotlin.time.Clock

/** Dependencies of a command; tests replace the store, the trace client, the clock and the output. */
class ClientContext(
    val store: ObjectStore,
    val traceClient: TraceClient,
    val clock: Clock,
    val operator: String,
    val output: PrintStream,
)
