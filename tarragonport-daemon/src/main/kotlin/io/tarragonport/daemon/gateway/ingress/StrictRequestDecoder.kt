package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.tarragonport.api.gateway.CallerLimits

/** Decodes requests and refuses what two parsers could read differently. */
internal class StrictRequestDecoder(
    limits: CallerLimits,
) : HttpRequestDecoder(config(limits)) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("Content-Length and Transfer-Encoding together")

    private companion object {
        const val CHUNK_BYTES = 65_536

        fun config(limits: CallerLimits): HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.headerBytes)
                .setMaxHeaderSize(limits.headerBytes)
                .setMaxChunkSize(CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true)
                .setValidateHeaders(true)
    }
}
