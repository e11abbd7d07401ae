package io.tarragonport.platform

import io.netty.handler.codec.http.HttpResponse

/**
 * Detects a head that consists of parts of two responses.
 *
 * A faulty server can write the beginning of an earlier response after the next request has been sent. Its position then
 * does not tell it from the response to that request. A beginning that ends inside the status line or a header's value
 * is completed by the status line that follows, so that the latter becomes part of a reason phrase or a value.
 */
object ResponseHeadCheck {
    private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

    /** Whether [response] has a status line inside its reason phrase or a header's value. */
    fun isSpliced(response: HttpResponse): Boolean =
        containsStatusLine(response.status().reasonPhrase()) ||
            response.headers().any { (_, value) -> containsStatusLine(value) }

    private fun containsStatusLine(text: String): Boolean = "HTTP/" in text && STATUS_LINE.containsMatchIn(text)
}
