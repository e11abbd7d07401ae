package io.tarragonport.client

import io.tarragonport.api.platform.ObjectStore
import java.io.PrintStream
import kotlin.time.Clock

/** What commands need from their surroundings; tests replace the store, the clock and the output. */
class ClientContext(
    val store: ObjectStore,
    val traces: TraceClient,
    val clock: Clock,
    val operator: String,
    val output: PrintStream,
)
