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
    /** Reads and parses [fileName]; an unreadable file or a wrong structure gives [ExitStatus.INVALID]. */
    fun load(fileName: String): Either<ClientError, LoadedDocument> {
        val text = text(fileName).fold({ return it.left() }, { it })
        return reader
            .read(text)
            .fold({ invalidDocument(fileName, it).left() }, { LoadedDocument(fileName, text, it).right() })
    }

    /** Checks values and references in [merged], the stored configuration with the sections of [loaded]. */
    fun validate(
        loaded: LoadedDocument,
        merged: ConfigurationDocument = loaded.parsed.document,
    ): Either<ClientError, Unit> {
        val problems = reader.validate(merged, loaded.text)
        return if (problems.isEmpty()) Unit.right() else invalidDocument(loaded.fileName, problems).left()
    }

    private fun text(fileName: String): Either<ClientError, String> =
        try {
            Files.readString(Path.of(fileName)).right()
        } catch (_: MalformedInputException) {
            ClientError(ExitStatus.INVALID, "cannot read $fileName: expected UTF-8 text, got other bytes").left()
        } catch (exception: IOException) {
            ClientError(
                ExitStatus.INVALID,
                "cannot read $fileName: ${exception.javaClass.simpleName}: ${exception.message}",
            ).left()
        }

    private fun invalidDocument(
        fileName: String,
        problems: List<DocumentProblem>,
    ) = ClientError(ExitStatus.INVALID, problems.map { it.describe(fileName) })
}
