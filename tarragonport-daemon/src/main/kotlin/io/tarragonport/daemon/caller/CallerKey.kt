package io.tarragonport.daemon.caller

/**
 * The text of a caller's key while its request is being read. It is used only for the lookup by digest and to check
 * that forwarded data does not contain it; [toString] hides it so that it cannot be logged.
 */
class CallerKey(
    private val text: String,
) {
    private val bytes = text.toByteArray()

    fun isIn(value: String): Boolean = value.contains(text)

    fun isIn(body: ByteArray): Boolean {
        val last = body.size - bytes.size
        for (start in 0..last) {
            if (matches(body, start)) return true
        }
        return false
    }

    private fun matches(
        body: ByteArray,
        start: Int,
    ): Boolean {
        for (offset in bytes.indices) {
            if (body[start + offset] != bytes[offset]) return false
        }
        return true
    }

    override fun toString(): String = "CallerKey"
}
