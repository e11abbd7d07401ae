package io.tarragonport.client.document

/** The first JSON syntax error of a text, at [line]. */
data class SyntaxError(
    val message: String,
    val line: Int,
)
