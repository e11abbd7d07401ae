package io.tarragonport.daemon.status

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.status.VmStatus
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Writes this VM's status object every [interval].
 *
 * Only this VM writes the object, so a conflict means that an earlier process wrote it or that a response was lost; the
 * current version is then read and overwritten in the next round.
 */
class StatusWriter(
    private val store: ObjectStore,
    private val interval: Duration = DEFAULT_INTERVAL,
    private val report: () -> VmStatus,
) {
    private val logger = KotlinLogging.logger {}
    private val writeLock = Mutex()
    private var version: ObjectVersion? = null

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            write()
            delay(interval)
        }
    }

    /** Writes the status once; also called when the VM becomes ready or drains, to publish that without delay. */
    suspend fun write() = writeLock.withLock { writeReport() }

    private suspend fun writeReport() {
        val status = report()
        val name = VmStatus.OBJECT_PREFIX + status.vm
        val text = WireJson.encodeToString(VmStatus.serializer(), status)
        val condition = version?.let { PutCondition.Version(it) } ?: PutCondition.Absent
        store.put(name, text, condition).fold(
            { error -> refreshVersion(name, error) },
            { written -> version = written },
        )
    }

    private suspend fun refreshVersion(
        name: String,
        error: PlatformError,
    ) {
        logger.debug { "status object $name was not written: $error" }
        version = store.get(name).getOrNull()?.version
    }

    companion object {
        /** 7 VMs cause 0.7 writes per second on the platform at this interval. */
        val DEFAULT_INTERVAL = 10.seconds
    }
}
