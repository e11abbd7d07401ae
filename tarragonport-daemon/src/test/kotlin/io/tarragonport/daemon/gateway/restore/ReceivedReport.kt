package io.tarragonport.daemon.gateway.restore

import io.tarragonport.api.gateway.WindowReport
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.VmId

/** A usage report as the platform received it, [atMs] after the start. */
data class ReceivedReport(
    val atMs: Long,
    val holder: VmId,
    val token: FencingToken,
    val report: WindowReport,
)
