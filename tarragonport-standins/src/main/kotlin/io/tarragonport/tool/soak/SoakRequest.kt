package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.VmProcess
import kotlin.time.ComparableTimeMark

/** One request as its caller sent it, and what became of it at the backend servers. */
class SoakRequest(
    val id: String,
    val kind: RequestKind,
    val target: String,
    val body: String,
    val key: SoakKey?,
    val patienceMs: Long,
    val vm: VmProcess,
    val sentAt: ComparableTimeMark,
) {
    /** Runs that began, in their order. */
    @Volatile
    var runs = 0

    /** Whether a run was spoiled by its server or by the link to it. */
    @Volatile
    var spoiled = false

    /** Whether the caller was told that the request has not run and never will. */
    @Volatile
    var refused = false

    /** When the caller left, null while it stays. */
    @Volatile
    var leftAt: ComparableTimeMark? = null
}
