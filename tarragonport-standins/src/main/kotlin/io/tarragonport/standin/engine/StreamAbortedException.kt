package io.tarragonport.standin.engine

import java.io.IOException

/** Aborts a response before its last chunk; the server then closes the connection. */
class StreamAbortedException(
    reason: String,
) : IOException(reason)
