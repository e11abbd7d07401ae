package io.tarragonport.daemon.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.settings.GatewaySettings
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.core.configuration.validation.FieldChecker
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement

/** Parses the settings file of a process and reports all its faults at once. */
object SettingsReader {
    /** Parses and checks the settings of a daemon; the left value has one line per fault. */
    fun read(text: String): Either<List<String>, ProcessSettings> =
        read(text, ProcessSettings.serializer(), SettingsRules::check)

    /** Parses and checks the settings of a gateway; the left value has one line per fault. */
    fun readGateway(text: String): Either<List<String>, GatewaySettings> =
        read(text, GatewaySettings.serializer(), GatewaySettingsRules::check)

    private fun <T> read(
        text: String,
        type: KSerializer<T>,
        rules: (T) -> List<String>,
    ): Either<List<String>, T> {
        val root = parse(text).fold({ return listOf(it).left() }, { it })
        val faults = mutableListOf<String>()
        FieldChecker { path, message -> faults += "${path.ifEmpty { "/" }}: $message" }
            .check("", root, type.descriptor)
        if (faults.isNotEmpty()) {
            return faults.left()
        }
        val settings = decode(root, type).fold({ return listOf(it).left() }, { it })
        val valueFaults = rules(settings)
        return if (valueFaults.isEmpty()) settings.right() else valueFaults.left()
    }

    private fun parse(text: String): Either<String, JsonElement> =
        catchingParseErrors { ConfigurationJson.parseToJsonElement(text) }

    private fun <T> decode(
        root: JsonElement,
        type: KSerializer<T>,
    ): Either<String, T> = catchingParseErrors { ConfigurationJson.decodeFromJsonElement(type, root) }

    private fun <T> catchingParseErrors(block: () -> T): Either<String, T> =
        try {
            block().right()
        } catch (exception: SerializationException) {
            firstLine(exception).left()
        } catch (exception: IllegalArgumentException) {
            firstLine(exception).left()
        }

    private fun firstLine(exception: Exception): String =
        exception.message
            .orEmpty()
            .lineSequence()
            .first()
}
