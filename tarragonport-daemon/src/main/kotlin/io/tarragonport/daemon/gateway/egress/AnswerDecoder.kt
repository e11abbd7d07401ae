package io.tarragonport.daemon.gateway.egress

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers of backend servers; the answer to a HEAD request has no body. */
internal class AnswerDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(HEAD_BYTES)
            .setMaxHeaderSize(HEAD_BYTES)
            .setMaxChunkSize(CHUNK_BYTES),
    ) {
    /** Whether the request under way has method HEAD. */
    var answersHead = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val status = (message as? HttpResponse)?.status()?.code()
        val final = status == null || status >= FIRST_FINAL_STATUS
        return (answersHead && final) || super.isContentAlwaysEmpty(message)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("Content-Length and Transfer-Encoding together")

    private companion object {
        /** Backend servers send a dozen short headers. */
        const val HEAD_BYTES = 65_536
        const val CHUNK_BYTES = 65_536
        const val FIRST_FINAL_STATUS = 200
    }
}
