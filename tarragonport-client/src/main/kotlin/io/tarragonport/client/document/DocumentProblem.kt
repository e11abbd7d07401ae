package io.tarragonport.client.document

/** An error in a document and its location; [path] is a JSON pointer. */
data class DocumentProblem(
    val section: String,
    val path: String,
    val line: Int,
    val message: String,
) {
    /** Formats the error as one line for the terminal. */
    fun describe(file: String): String = "$file:$line: section $section: $path: $message"
}
