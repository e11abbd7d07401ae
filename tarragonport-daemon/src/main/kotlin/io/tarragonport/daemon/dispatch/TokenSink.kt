package io.tarragonport.daemon.dispatch

/** Receives the tokens of a response in order, each exactly once; throws after the caller disconnected. */
fun interface TokenSink {
    suspend fun token(text: String)
}
