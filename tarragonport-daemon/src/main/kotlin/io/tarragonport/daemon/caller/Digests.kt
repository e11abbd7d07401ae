package io.tarragonport.daemon.caller

import java.security.MessageDigest
import java.util.HexFormat

/** Hexadecimal SHA-256 digests of several parts; a zero byte follows each part, so that their boundaries count. */
object Digests {
    fun of(vararg parts: ByteArray): String {
        val digest = MessageDigest.getInstance("SHA-256")
        for (part in parts) {
            digest.update(part)
            digest.update(0)
        }
        return HexFormat.of().formatHex(digest.digest())
    }

    fun of(vararg parts: String): String = of(*parts.map { it.toByteArray() }.toTypedArray())
}
