package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.InvariantCount

/** Invariants of a soak run, checked against the observations of callers, backend servers and the platform. */
class SoakInvariants {
    val atMostOnce = InvariantCount("at most once: requests that are not repeatable are executed at most once")
    val notExecuted = InvariantCount("rejections: a request reported as not executed is never executed")
    val ownResponse = InvariantCount("responses: each successful response is the complete response to its request")
    val eventOrder = InvariantCount("streams: events arrive without gaps or duplicates up to a complete end")
    val requestUnchanged =
        InvariantCount("requests: id, method, target and body as sent, remaining time within the caller's timeout")
    val organisation = InvariantCount("keys: servers receive the organisation of the key, but not the key")
    val withdrawnKeys = InvariantCount("keys: a withdrawn key becomes invalid within the time limit")
    val leaving = InvariantCount("leaving servers: no new request after the drain time")
    val disconnected = InvariantCount("disconnected callers: none of their requests is sent later")
    val clientErrors = InvariantCount("client errors: valid requests get no status 400, 401, 403, 404, 413 or 431")
    val notTruncated = InvariantCount("responses: without a fault none is truncated, even during a graceful stop")
    val gracefulStops = InvariantCount("graceful stop: exit status 0 in time")
    val alive = InvariantCount("processes: none ends unexpectedly")
    val usage = InvariantCount("usage: all reports of a window contain the same counts")
    val fencing = InvariantCount("duties: fencing tokens never decrease and each has one holder")
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
