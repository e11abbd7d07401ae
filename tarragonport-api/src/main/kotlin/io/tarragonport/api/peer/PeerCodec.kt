package io.tarragonport.api.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes and decodes peer messages in CBOR.
 *
 * Fields are identified by numbers instead of names, which keeps messages small. Unknown fields are ignored, so that
 * VMs of two successive releases are compatible.
 */
object PeerCodec {
    private val cbor =
        Cbor {
            encodeDefaults = false
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
            useDefiniteLengthEncoding = true
        }

    /** Encodes [envelope]. */
    fun encode(envelope: PeerEnvelope): ByteArray = cbor.encodeToByteArray(PeerEnvelope.serializer(), envelope)

    /** Decodes an envelope from [bytes]; the left side is the reason why they are invalid. */
    fun decode(bytes: ByteArray): Either<String, PeerEnvelope> =
        try {
            cbor.decodeFromByteArray(PeerEnvelope.serializer(), bytes).right()
        } catch (error: SerializationException) {
            error.message.orEmpty().left()
        } catch (error: IllegalArgumentException) {
            error.message.orEmpty().left()
        } catch (error: IndexOutOfBoundsException) {
            "length exceeds the end of the message: ${error.message}".left()
        } catch (error: NegativeArraySizeException) {
            "negative length: ${error.message}".left()
        }

    /** Encoded size of [value] in bytes. */
    fun <T> size(
        serializer: KSerializer<T>,
        value: T,
    ): Int = cbor.encodeToByteArray(serializer, value).size
}
