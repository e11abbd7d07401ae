package io.tarragonport.platform

/**
 * Limits how deeply JSON text is nested before it is parsed.
 *
 * The parser, and the printing of what it has read, recurse with each level, so that a value which any writer can leave
 * in the object store would exhaust the stack of the thread that reads it.
 */
object JsonNesting {
    /** More levels than any object of the platform has; reading and printing them takes a fraction of a small stack. */
    const val MAXIMUM_LEVELS = 64

    /** Returns [text] without the content of lists and objects below [levels] levels. */
    fun limit(
        text: String,
        levels: Int = MAXIMUM_LEVELS,
    ): String {
        val kept = StringBuilder()
        var next = 0
        var level = 0
        var quoted = false
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '\\' -> {
                    if (quoted) index++
                }

                '"' -> {
                    quoted = !quoted
                }

                '[', '{' -> {
                    if (!quoted && level++ == levels) {
                        kept.append(text, next, index + 1)
                        next = text.length
                    }
                }

                ']', '}' -> {
                    if (!quoted && --level == levels) next = index
                }
            }
            index++
        }
        return if (kept.isEmpty()) text else kept.append(text, next, text.length).toString()
    }
}
