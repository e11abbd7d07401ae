package io.tarragonport.core.gateway.stream

import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of an event stream at event boundaries, so that only complete events are forwarded.
 *
 * An event ends with an empty line. [lastId] is the id of the last complete event.
 */
class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private val line = StringBuilder()
    private var carriageReturn = false
    private var eventEnded = false
    private var id: String? = null

    /** The id of the last event returned by [add]. */
    var lastId: String? = null
        private set

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = pending.size()

    /** Whether bytes of an incomplete event are buffered. */
    val unfinished: Boolean get() = pendingBytes > 0

    /** Whether the incomplete event is longer than [MAX_EVENT_BYTES], so that the stream must be given up. */
    val oversized: Boolean get() = pendingBytes > MAX_EVENT_BYTES

    /** Adds [bytes] and returns the events completed by them, or null. */
    fun add(bytes: ByteArray): ByteArray? {
        var complete = 0
        for (index in bytes.indices) {
            if (endsEvent(bytes[index])) complete = index + 1
        }
        if (complete == 0) {
            pending.write(bytes, 0, bytes.size)
            return null
        }
        pending.write(bytes, 0, complete)
        val events = pending.toByteArray()
        pending.reset()
        pending.write(bytes, complete, bytes.size - complete)
        return events
    }

    private fun endsEvent(byte: Byte): Boolean {
        val character = byte.toInt().toChar()
        if (character != '\n' && character != '\r') {
            carriageReturn = false
            eventEnded = false
            if (line.length < MAX_ID_LINE_LENGTH) line.append(character)
            return false
        }
        val continuesLineEnd = character == '\n' && carriageReturn
        carriageReturn = character == '\r'
        if (!continuesLineEnd) eventEnded = endOfLine()
        return eventEnded
    }

    private fun endOfLine(): Boolean {
        val text = line.toString()
        line.setLength(0)
        if (text.isEmpty()) {
            lastId = id ?: lastId
            return true
        }
        if (text.startsWith(ID_FIELD)) id = text.removePrefix(ID_FIELD).trim()
        return false
    }

    companion object {
        /** Events hold a few tokens; the limit only bounds the memory that a faulty server can take. */
        const val MAX_EVENT_BYTES = 1024 * 1024
        private const val ID_FIELD = "id:"

        /** Only id lines are parsed, and ids are short numbers. */
        private const val MAX_ID_LINE_LENGTH = 64
    }
}
