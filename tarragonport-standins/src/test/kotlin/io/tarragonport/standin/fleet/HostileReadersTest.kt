package io.tarragonport.standin.fleet

import kotlin.test.Test

/** Guards against callers that ask for large responses and do not read them, or read very slowly. */
class HostileReadersTest {
    private class Case(
        val title: String,
        val bytesPerSecond: Int,
    )

    @Test
    fun `responses that are not read leave room for others`() =
        listOf(Case("not read", 0), Case("read slowly", 100)).forEach { case ->
            CrowdFixture().use { fixture ->
                fixture.crowd(CROWD) { socket ->
                    socket.receiveBufferSize = 4_096
                    val request =
                        "GET /read/large HTTP/1.1\r\nHost: ${FleetSamples.HOST}\r\n" +
                            "X-Request-Id: reader-${System.nanoTime()}\r\nX-Api-Key: ${FleetSamples.KEY}\r\n\r\n"
                    socket.getOutputStream().write(request.toByteArray())
                    repeat(SECONDS) {
                        Thread.sleep(1_000)
                        if (case.bytesPerSecond > 0) socket.getInputStream().readNBytes(case.bytesPerSecond)
                    }
                }
                fixture.check(case.title)
            }
        }

    private companion object {
        const val CROWD = 80
        const val SECONDS = 5
    }
}
