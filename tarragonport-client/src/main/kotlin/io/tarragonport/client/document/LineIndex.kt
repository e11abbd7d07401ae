package io.tarragonport.client.document

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.json.JsonReadFeature

/** Maps JSON pointers in a document to the lines where their values start, to report the lines of errors. */
class LineIndex private constructor(
    private val lines: Map<String, Int>,
) {
    /** Line of the value at [pointer], or of its nearest indexed ancestor; 1 if there is none. */
    fun line(pointer: String): Int {
        var path = pointer
        while (path.isNotEmpty()) {
            lines[path]?.let { return it }
            path = path.substringBeforeLast('/', "")
        }
        return 1
    }

    companion object {
        private val FACTORY: JsonFactory =
            JsonFactory
                .builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                .build()

        /** Indexes [text] up to its first syntax error. */
        fun of(text: String): LineIndex {
            val lines = mutableMapOf<String, Int>()
            FACTORY.createParser(text).use { parser -> scan(parser, lines) }
            return LineIndex(lines)
        }

        private fun scan(
            parser: JsonParser,
            lines: MutableMap<String, Int>,
        ) {
            try {
                while (parser.nextToken() != null) {
                    val pointer = parser.parsingContext.pathAsPointer().toString()
                    lines.putIfAbsent(pointer, parser.currentTokenLocation().lineNr)
                }
            } catch (_: JsonProcessingException) {
                // DocumentReader reports the syntax error; the lines before it are indexed.
            }
        }

        /** Message and line of the first syntax error of [text], null if it is well formed. */
        fun syntaxError(text: String): SyntaxError? =
            try {
                FACTORY.createParser(text).use { parser ->
                    while (parser.nextToken() != null) {
                        parser.skipChildren()
                    }
                }
                null
            } catch (exception: JsonProcessingException) {
                SyntaxError(exception.originalMessage, exception.location?.lineNr ?: 1)
            }
    }
}
