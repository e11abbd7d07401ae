package io.tarragonport.tool.soak

import io.tarragonport.tool.fault.InvariantCount

/** What must hold during a soak, as callers, backend servers and the platform see it. */
class SoakInvariants {
    val atMostOnce = InvariantCount("at most once: what may not be repeated runs at most once")
    val trueRefusal = InvariantCount("refusals: what was refused has not run and does not run later")
    val ownAnswer = InvariantCount("answers: a success is the server's whole answer to the own request")
    val order = InvariantCount("streams: events without gap or repetition up to a complete end")
    val unchanged = InvariantCount("requests: known id, same method, target and body, time left within the caller's")
    val organisation = InvariantCount("keys: no server sees a key, and each gets the key's organisation")
    val revoked = InvariantCount("keys: a withdrawn key stops working")
    val leaving = InvariantCount("leaving servers: no request after the drain time")
    val gone = InvariantCount("callers that left: no request is sent for them later")
    val denied = InvariantCount("proper requests are never answered 400, 401, 403 or 404")
    val uncut = InvariantCount("answers of sound servers are not cut, also while a VM stops")
    val graceful = InvariantCount("stops: exit status 0 in time")
    val alive = InvariantCount("processes do not end by themselves")
    val usage = InvariantCount("usage: one figure for a window")
    val fencing = InvariantCount("duties: fencing numbers never fall and no two VMs share one")
    val recovery = InvariantCount("recovery: each VM serves every kind of request after the faults")

    val all =
        listOf(
            atMostOnce,
            trueRefusal,
            ownAnswer,
            order,
            unchanged,
            organisation,
            revoked,
            leaving,
            gone,
            denied,
            uncut,
            graceful,
            alive,
            usage,
            fencing,
            recovery,
        )
}
