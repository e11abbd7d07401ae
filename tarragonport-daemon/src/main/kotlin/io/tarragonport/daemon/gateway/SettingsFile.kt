package io.tarragonport.daemon.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.daemon.settings.SettingsReader
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** The settings file of a gateway, which may change at any time, with or without SIGHUP. */
internal class SettingsFile(
    private val path: String,
) {
    private var lastText: String? = null

    /** Reads and validates the file; the left side has one line for each error. */
    @Synchronized
    fun read(): Either<List<String>, GatewaySettings> = text().flatMap(::parse)

    /** Reads and validates the file if its content has changed since the last read; null otherwise. */
    @Synchronized
    fun readIfChanged(): Either<List<String>, GatewaySettings>? {
        val previousText = lastText
        return text().fold({ it.left() }, { text -> if (text == previousText) null else parse(text) })
    }

    private fun text(): Either<List<String>, String> =
        try {
            Files.readString(Path.of(path)).right()
        } catch (exception: IOException) {
            listOf("$path cannot be read: ${exception.message}").left()
        }

    private fun parse(text: String): Either<List<String>, GatewaySettings> {
        lastText = text
        return SettingsReader.readGateway(text).mapLeft { errors -> errors.map { "$path: $it" } }
    }
}
