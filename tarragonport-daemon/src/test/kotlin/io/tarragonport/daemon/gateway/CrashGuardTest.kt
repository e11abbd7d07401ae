package io.tarragonport.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.gateway.CallerMetadata
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.daemon.gateway.exchange.CrashFingerprints
import io.tarragonport.daemon.gateway.exchange.CrashGuard
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against one crash that is counted again with each VM record, because its age in the records stays the same. */
class CrashGuardTest {
    private val clock = TestTimeSource()

    private fun request(): CallerRequest {
        val metadata = CallerMetadata(null, "key", null, null, null)
        val body = Unpooled.wrappedBuffer("body".toByteArray())
        return CallerRequest(HttpMethod.POST, "/chat/", "host", DefaultHttpHeaders(), body, metadata, clock.markNow())
    }

    @Test
    fun `a crash ages in successive VM records and is counted once by other VMs`() {
        val observer = CrashGuard(clock) { }
        val other = CrashGuard(clock) { }
        val fingerprints = CrashFingerprints(request())
        observer.crashed(fingerprints.all, BackendServerId("s"))
        listOf(0, 5, 10, 15).forEach { seconds ->
            if (seconds > 0) clock += 5.seconds
            val crashes = observer.recentCrashes
            assertEquals(listOf(seconds * 1_000L), crashes.map { it.ageMs })
            other.mergeVmRecords(crashes)
            assertNull(other.blocking(fingerprints), "after $seconds s")
        }
    }
}
