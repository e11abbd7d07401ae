package io.tarragonport.api.id

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 digest of a caller's key in lower-case hexadecimal, 64 characters. The key itself is never stored. */
@Serializable
@JvmInline
value class KeyDigest(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        /** Computes the digest of [key], the text after `Bearer` in the `Authorization` header. */
        fun of(key: String): KeyDigest {
            val hash = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
            return KeyDigest(HexFormat.of().formatHex(hash))
        }
    }
}
