package io.tarragonport.core.limit

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import kotlin.time.Duration

/** A report that is due to [aggregator], [age] after the last one; [compose] creates it and marks it as sent. */
internal class DueReport(
    val aggregator: VmId,
    val urgency: ReportUrgency,
    val age: Duration,
    val compose: () -> LimitDemand,
)
