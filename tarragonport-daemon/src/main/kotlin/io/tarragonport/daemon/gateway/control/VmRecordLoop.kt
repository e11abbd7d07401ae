package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.gateway.fleet.VmRecord
import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import kotlinx.coroutines.delay
import kotlin.time.Duration

/**
 * Writes this VM's record every [interval] and once more at shutdown.
 *
 * Only this process writes the object, so a conflict means that an earlier write took effect although its response was
 * lost.
 */
internal class VmRecordLoop(
    private val name: String,
    private val store: ObjectStore,
    private val log: ControlLog,
    private val interval: () -> Duration,
    private val buildRecord: (heartbeat: Long) -> VmRecord,
) {
    private var version: ObjectVersion? = null
    private var heartbeat = 0L

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            write()
            delay(interval())
        }
    }

    /** Writes the current record. */
    suspend fun write() {
        val value = WireJson.encodeToString(VmRecord.serializer(), buildRecord(++heartbeat))
        val condition = version?.let(PutCondition::Version) ?: PutCondition.Absent
        store.put(name, value, condition).fold(
            { error ->
                if (error is PlatformError.Conflict) version = error.current
                log.event(GatewayEvents.RECORD_FAILED, "error" to error)
            },
            { written -> version = written },
        )
    }
}
