package io.tarragonport.daemon.settings

import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.settings.ProcessSettings
import io.tarragonport.daemon.TestPorts
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.assertEquals

/** Guards against a daemon that starts without endpoints or peers because another process uses its port. */
class ListenCheckTest {
    @TestFactory
    fun `occupied addresses are reported`(): List<DynamicTest> =
        listOf(
            Triple(false, false, emptyList()),
            Triple(true, false, listOf("caller_address")),
            Triple(false, true, listOf("peer_address")),
            Triple(true, true, listOf("caller_address", "peer_address")),
        ).map { (caller, peer, expected) ->
            DynamicTest.dynamicTest("occupied: $expected") { check(caller, peer, expected) }
        }

    private fun check(
        callerOccupied: Boolean,
        peerOccupied: Boolean,
        expected: List<String>,
    ) = listener().use { caller ->
        listener().use { peer ->
            if (!callerOccupied) caller.close()
            if (!peerOccupied) peer.close()
            val faults = ListenCheck.faults(settings(caller.localPort, peer.localPort))
            assertEquals(expected, faults.map { it.substringBefore(':') })
        }
    }

    private fun listener() = ServerSocket(TestPorts.next(), 1, InetAddress.getLoopbackAddress())

    private fun settings(
        callerPort: Int,
        peerPort: Int,
    ) = ProcessSettings(
        vmId = VmId("vm-1"),
        region = RegionId("lima"),
        failureDomain = FailureDomainId("lima-a"),
        callerAddress = "127.0.0.1:$callerPort",
        peerAddress = "127.0.0.1:$peerPort",
        platformUrl = "http://127.0.0.1:1",
    )
}
