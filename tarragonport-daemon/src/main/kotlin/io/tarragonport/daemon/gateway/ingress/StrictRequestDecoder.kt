package io.tarragonport.daemon.gateway.ingress

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.tarragonport.api.gateway.CallerLimits

/** Decodes requests and rejects ambiguous ones that two parsers could interpret differently (request smuggling). */
internal class StrictRequestDecoder(
    limits: CallerLimits,
) : GatedRequestDecoder(config(limits)) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 65_536

        fun config(limits: CallerLimits): HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.headerBytes)
                .setMaxHeaderSize(limits.headerBytes)
                .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true)
                .setHeadersFactory(LimitedHeadersFactory)
    }
}
