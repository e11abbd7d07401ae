package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.VmProcess
import kotlin.time.ComparableTimeMark

/** One request as its caller sent it, and what happened to it. [target] is the path with the query. */
class SoakRequest(
    val id: String,
    val kind: RequestKind,
    val target: String,
    val body: String,
    val key: SoakKey?,
    val callerTimeoutMs: Long,
    val vm: VmProcess,
    val sentAt: ComparableTimeMark,
) {
    /** Number of executions that backend servers have started. */
    @Volatile
    var executions = 0

    /** Whether an execution was affected by a fault of its server or of the link to it. */
    @Volatile
    var affectedByFault = false

    /** Whether a response stated that the request has not been executed and never will be. */
    @Volatile
    var refused = false

    /** The time at which the caller disconnected; null while it is connected. */
    @Volatile
    var disconnectedAt: ComparableTimeMark? = null
}
