package io.tarragonport.client.command

import io.tarragonport.client.document.ParsedDocument

/** A parsed document with the name and the text of its file, which are needed to report the lines of errors. */
internal class LoadedDocument(
    val fileName: String,
    val text: String,
    val parsed: ParsedDocument,
)
