package io.tarragonport.standin.fleet

import io.tarragonport.wire.WireHeaders

/** Well-formed HTTP responses of a backend server, as text. */
object ServerResponses {
    /** A complete signed response to [call]. */
    fun plain(
        call: ReceivedCall,
        body: String,
        status: String = "200 OK",
        id: String? = requestId(call),
        extraHeaders: String = "",
    ): String =
        "HTTP/1.1 $status\r\n${requestIdHeader(id)}${WireHeaders.SIGNATURE}: signed\r\n" +
            "Keep-Alive: timeout=5\r\n${extraHeaders}Content-Length: ${body.length}\r\n\r\n$body"

    /** A response that states that the request was not executed. */
    fun notExecuted(call: ReceivedCall): String =
        "HTTP/1.1 503 Busy\r\n${requestIdHeader(
            requestId(call),
        )}${WireHeaders.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"

    /** The head of a signed event stream with chunked transfer coding. */
    fun streamHead(call: ReceivedCall): String =
        "HTTP/1.1 200 OK\r\n${requestIdHeader(requestId(call))}${WireHeaders.SIGNATURE}: signed\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    /** One chunk of a chunked body. */
    fun chunk(text: String): String = "${text.length.toString(HEXADECIMAL_RADIX)}\r\n$text\r\n"

    /** The server-sent event with id [number]. */
    fun event(number: Int): String = "id: $number\ndata: token-$number\n\n"

    const val STREAM_END = "0\r\n\r\n"

    /** The request id of [call]. */
    fun requestId(call: ReceivedCall): String? = call.headers[WireHeaders.REQUEST_ID.lowercase()]

    private fun requestIdHeader(id: String?): String = id?.let { "${WireHeaders.REQUEST_ID}: $it\r\n" }.orEmpty()

    private const val HEXADECIMAL_RADIX = 16
}
