package io.tarragonport.daemon.gateway.egress

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.tarragonport.api.gateway.ResponseMetadata

/** Receives the answer to one request sent to a backend server; all calls come from the traffic thread. */
internal interface ReplyListener {
    /** The head of the answer; false if the rest is not wanted, which closes the connection. */
    fun replyBegan(
        response: HttpResponse,
        metadata: ResponseMetadata,
    ): Boolean

    /** More bytes of the body, valid during the call; false if the rest is not wanted. */
    fun replyPart(bytes: ByteBuf): Boolean

    /** The answer is complete. */
    fun replyEnded()

    /** The connection broke or brought something that is not the answer; nothing follows. */
    fun replyBroken(reason: String)
}
