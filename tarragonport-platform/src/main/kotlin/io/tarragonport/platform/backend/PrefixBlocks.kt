package io.tarragonport.platform.backend

import io.tarragonport.api.backend.EngineMessage
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Computes the digests that identify the prefixes of a prompt, as engines do in cache events.
 *
 * Each prefix is one block of [BLOCK_CHARACTERS] longer than the previous one.
 */
object PrefixBlocks {
    /** Length of a block in characters, about 64 tokens. */
    const val BLOCK_CHARACTERS = 256

    /** Blocks after these are ignored, which limits the work for prompts of several megabytes. */
    const val MAXIMUM_BLOCKS = 16

    private const val DIGEST_BYTES = 8

    /** Returns the digests of the prefixes of a prompt, longest first; an incomplete last block is ignored. */
    fun of(
        model: String,
        messages: List<EngineMessage>,
    ): List<String> {
        val prompt = promptText(messages, BLOCK_CHARACTERS * MAXIMUM_BLOCKS)
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(model.toByteArray())
        val blocks =
            prompt.chunked(BLOCK_CHARACTERS).filter { it.length == BLOCK_CHARACTERS }.map { block ->
                digest.update(block.toByteArray())
                prefixDigest(digest)
            }
        return blocks.reversed()
    }

    private fun prefixDigest(digest: MessageDigest): String {
        val hash = (digest.clone() as MessageDigest).digest()
        return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES)
    }

    private fun promptText(
        messages: List<EngineMessage>,
        limit: Int,
    ): String {
        val text = StringBuilder()
        for (message in messages) {
            if (text.length >= limit) break
            text.append(message.role).append('\n').append(message.content, 0, minOf(message.content.length, limit))
            text.append('\n')
        }
        return text.substring(0, minOf(text.length, limit))
    }
}
