package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import io.tarragonport.client.document.DocumentProblem
import io.tarragonport.client.document.DocumentReader
import java.io.IOException
import java.nio.charset.MalformedInputException
import java.nio.file.Files
import java.nio.file.Path

/** Loads and checks a document file; the errors are formatted for the terminal. */
internal class DocumentLoader(
    private val reader: DocumentReader = DocumentReader(),
) {
    /** Reads the file at [name]; an unreadable file or a wrong structure gives exit status 2. */
    fun load(name: String): Either<ClientError, LoadedDocument> {
        val text = text(name).fold({ return it.left() }, { it })
        return reader.read(text).fold({ invalidDocument(name, it).left() }, { LoadedDocument(name, text, it).right() })
    }

    /** Checks values and references in [merged], the stored configuration with the sections of [loaded]. */
    fun validate(
        loaded: LoadedDocument,
        merged: ConfigurationDocument = loaded.file.document,
    ): Either<ClientError, Unit> {
        val found = reader.validate(merged, loaded.text)
        return if (found.isEmpty()) Unit.right() else invalidDocument(loaded.name, found).left()
    }

    private fun text(name: String): Either<ClientError, String> =
        try {
            Files.readString(Path.of(name)).right()
        } catch (_: MalformedInputException) {
            ClientError(ExitStatus.INVALID, "cannot read $name: expected UTF-8 text, got other bytes").left()
        } catch (exception: IOException) {
            ClientError(
                ExitStatus.INVALID,
                "cannot read $name: ${exception.javaClass.simpleName}: ${exception.message}",
            ).left()
        }

    private fun invalidDocument(
        name: String,
        found: List<DocumentProblem>,
    ) = ClientError(ExitStatus.INVALID, found.map { it.describe(name) })
}
