package io.tarragonport.daemon.gateway.exchange

import com.google.common.hash.Hashing
import io.netty.buffer.ByteBufUtil
import io.tarragonport.daemon.gateway.ingress.CallerRequest

/**
 * Fingerprints of what can crash a server: each part of a prompt that other requests can share, and the request as a
 * whole, by path, key and body. The latter needs the body, so [all] must be read before the body is released.
 */
internal class CrashFingerprints(
    private val request: CallerRequest,
) {
    /** Fingerprints of the shared parts of the prompt. */
    val parts: List<String> by lazy(LazyThreadSafetyMode.NONE) {
        val prompt = request.metadata.prompt
        prompt
            ?.sharedParts
            .orEmpty()
            .map { part(prompt?.model.orEmpty(), it.id) }
            .distinct()
    }

    /** Fingerprints of the parts and of the whole request. */
    val all: List<String> by lazy(LazyThreadSafetyMode.NONE) { parts + whole() }

    private fun part(
        model: String,
        id: String,
    ): String {
        val name = "$model/$id"
        return if (name.length <= MAXIMUM_NAME) name else Hashing.murmur3_128().hashUnencodedChars(name).toString()
    }

    private fun whole(): String =
        Hashing
            .murmur3_128()
            .newHasher()
            .putUnencodedChars(request.path)
            .putUnencodedChars(request.metadata.key.orEmpty())
            .putBytes(ByteBufUtil.getBytes(request.body))
            .hash()
            .toString()

    private companion object {
        /** Keeps records small; longer names are replaced with their hash. */
        const val MAXIMUM_NAME = 64
    }
}
