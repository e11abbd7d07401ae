package io.tarragonport.daemon.gateway.ingress

/** Decides what a [GatedRequestDecoder] does with its input; all calls come from the connection's event loop. */
internal interface InputGate {
    /** Whether the next part of the input is decoded now; otherwise it waits undecoded. */
    val open: Boolean

    /** Whether the connection is closing, so that all input is discarded. */
    val discarding: Boolean

    /** Input was discarded. */
    fun inputDiscarded()
}
