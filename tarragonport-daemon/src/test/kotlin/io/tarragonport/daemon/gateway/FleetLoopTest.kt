package io.tarragonport.daemon.gateway

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.RecentListing
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.core.gateway.fleet.VmRecordTable
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.FleetLoop
import io.tarragonport.daemon.store.InMemoryObjectStore
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Records of ended VMs must not fill the object store; records of live VMs and open usage windows must remain. */
class FleetLoopTest {
    private val clock = TestTimeSource()
    private val store = InMemoryObjectStore()
    private val recent = RecentListing { prefix -> store.list(prefix, withValues = true) }
    private val recordTable = VmRecordTable(clock)
    private val loop = FleetLoop("vms/", store, recent, recordTable, ControlLog { _, _ -> }, { 2.seconds }) { }

    private suspend fun write(
        vm: String,
        heartbeat: Long,
    ) {
        val record = VmRecord(VmId(vm), Incarnation(1), "10.0.0.1:7340", heartbeat, emptyMap(), emptyMap())
        val condition =
            store.get("vms/$vm").getOrNull()?.let { PutCondition.Version(it.version) } ?: PutCondition.Absent
        store.put("vms/$vm", WireJson.encodeToString(VmRecord.serializer(), record), condition)
    }

    @Test
    fun `records of VMs that ended long ago are deleted a few at a time`() =
        runTest {
            listOf("live", "ended-1", "ended-2", "ended-3").forEach { write(it, heartbeat = 1) }
            loop.refresh()
            var heartbeat = 1L
            listOf(44 to 4, 2 to 2, 2 to 1).forEach { (seconds, remaining) ->
                clock += seconds.seconds
                write("live", ++heartbeat)
                loop.refresh()
                loop.prune()
                assertEquals(remaining, store.names.size, "after another $seconds seconds")
            }
            assertEquals(listOf("vms/live"), store.names)
        }
}
