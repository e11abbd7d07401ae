package io.tarragonport.daemon.gateway.ingress

import kotlin.time.ComparableTimeMark

/** The decision to close a caller's connection, made at [time]. */
internal class CloseDecision(
    val reason: CloseReason,
    val time: ComparableTimeMark,
)
