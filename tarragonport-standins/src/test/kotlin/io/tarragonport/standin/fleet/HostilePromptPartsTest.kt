package io.tarragonport.standin.fleet

import io.tarragonport.wire.WireHeaders
import java.io.BufferedReader
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test

/** Guards against callers that fill the heap for good with requests of very many short prompt parts. */
class HostilePromptPartsTest {
    private val nextPart = AtomicInteger()

    private fun sendPrompts(socket: Socket) {
        val input = socket.getInputStream().bufferedReader()
        repeat(REQUESTS) {
            val parts = (1..PARTS).joinToString(",") { "${Integer.toHexString(nextPart.incrementAndGet())}:1" }
            val head =
                "GET /read/a HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n" +
                    "${WireHeaders.REQUEST_ID}: parts-${System.nanoTime()}\r\n" +
                    "${WireHeaders.KEY}: ${FleetSamples.KEY}\r\n" +
                    "${WireHeaders.MODEL}: m\r\n${WireHeaders.TOKENS}: $PARTS,1\r\n${WireHeaders.PROMPT_PARTS}: $parts\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val length = readHead(input) ?: return
            input.skip(length.toLong())
        }
    }

    /** Length of the response's body; null if the connection has ended. */
    private fun readHead(input: BufferedReader): Int? {
        var length = 0
        while (true) {
            val line = input.readLine() ?: return null
            if (line.isEmpty()) return length
            if (line.startsWith("content-length:", ignoreCase = true)) length = line.substringAfter(':').trim().toInt()
        }
    }

    @Test
    fun `prompts of many short parts leave room for others`() =
        CrowdFixture().use { fixture ->
            fixture.crowd(CROWD, act = ::sendPrompts)
            fixture.check("prompts of many short parts")
        }

    private companion object {
        const val CROWD = 8
        const val REQUESTS = 150
        const val PARTS = 1_500
    }
}
