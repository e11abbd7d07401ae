package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.InvariantCount

/** Invariants of a soak run, checked against the observations of callers, backend servers and the platform. */
class SoakInvariants {
    val atMostOnce = InvariantCount("at most once: what may not be repeated runs at most once")
    val notExecuted = InvariantCount("refusals: what was refused has not run and does not run later")
    val ownResponse = InvariantCount("answers: a success is the server's whole answer to the own request")
    val eventOrder = InvariantCount("streams: events without gap or repetition up to a complete end")
    val requestUnchanged =
        InvariantCount("requests: known id, same method, target and body, time left within the caller's")
    val organisation = InvariantCount("keys: no server sees a key, and each gets the key's organisation")
    val withdrawnKeys = InvariantCount("keys: a withdrawn key stops working")
    val leaving = InvariantCount("leaving servers: no request after the drain time")
    val disconnected = InvariantCount("callers that left: no request is sent for them later")
    val clientErrors = InvariantCount("proper requests are never answered 400, 401, 403 or 404")
    val notTruncated = InvariantCount("answers of sound servers are not cut, also while a VM stops")
    val gracefulStops = InvariantCount("stops: exit status 0 in time")
    val alive = InvariantCount("processes do not end by themselves")
    val usage = InvariantCount("usage: one figure for a window")
    val fencing = InvariantCount("duties: fencing numbers never fall and no two VMs share one")
    val recovery = InvariantCount("recovery: each VM serves every kind of request after the faults")

    val all =
        listOf(
            atMostOnce,
            notExecuted,
            ownResponse,
            eventOrder,
            requestUnchanged,
            organisation,
            withdrawnKeys,
            leaving,
            disconnected,
            clientErrors,
            notTruncated,
            gracefulStops,
            alive,
            usage,
            fencing,
            recovery,
        )
}
