package io.tarragonport.standin.fleet

import io.tarragonport.wire.WireHeaders
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.Socket

/** Guards against callers that occupy the traffic thread with bodies of legal size in very many chunks. */
class HostileChunksTest {
    private fun sendBodies(
        socket: Socket,
        path: String,
    ) {
        val output = socket.getOutputStream()
        val chunks = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE).toByteArray()
        while (true) {
            output.write(
                (
                    "POST $path HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n" +
                        "${WireHeaders.REQUEST_ID}: chunks-${System.nanoTime()}\r\n" +
                        "${WireHeaders.KEY}: ${FleetSamples.KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
                ).toByteArray(),
            )
            repeat((CrowdFixture.BODY_BYTES - 1) / CHUNKS_PER_WRITE) { output.write(chunks) }
            output.write("0\r\n\r\n".toByteArray())
        }
    }

    @TestFactory
    fun `bodies in chunks of one byte leave room for others`(): List<DynamicTest> =
        listOf("with a route" to "/post/a", "without a route" to "/none/a").map { (title, path) ->
            DynamicTest.dynamicTest(title) {
                CrowdFixture().use { fixture ->
                    fixture.lastingCrowd(CROWD) { sendBodies(it, path) }
                    fixture.check(title)
                }
            }
        }

    private companion object {
        const val CROWD = 32
        const val CHUNKS_PER_WRITE = 10_000
    }
}
