package io.tarragonport.client.command

import io.tarragonport.client.document.DocumentFile

/** A document file together with its text, which is needed to report the lines of errors. */
internal class LoadedDocument(
    val name: String,
    val text: String,
    val file: DocumentFile,
)
