package io.tarragonport.daemon.usage

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import io.tarragonport.core.usage.UsagePruning
import io.tarragonport.core.usage.UsageTotals
import io.tarragonport.core.usage.VmUsage
import io.tarragonport.daemon.event.logError
import io.tarragonport.daemon.event.logWarning
import io.tarragonport.daemon.store.TimeoutStore
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Clock
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Writes the counts of [meter] to the usage object of this process.
 *
 * Only this process writes the object, and the counts are cumulative. After a failed call or a conflict it is therefore
 * enough to read the current version and to write again.
 */
class UsageFlusher(
    store: ObjectStore,
    private val meter: OrganisationMeter,
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val settings: UsageSettings = UsageSettings(),
) {
    private val store = TimeoutStore(store, settings.callTimeout)
    private val mutex = Mutex()

    // Sequence number of the usage object; see [VmUsage.objectNumber].
    private var objectNumber = 0
    private var condition: PutCondition = PutCondition.Absent
    private var versionUncertain = false
    private var ended = false
    private var lastAttempted: VmUsage? = null
    private var lastDurable: VmUsage? = null

    /** Flushes until cancelled. */
    suspend fun run() {
        while (true) {
            delay(settings.flushInterval)
            flushSafely()
        }
    }

    /** Writes the changes since the last flush; returns true if nothing is left to write. */
    suspend fun flush(): Boolean = mutex.withLock { flushChanges() }

    /**
     * Writes the final counts and marks the process as ended, within [timeout]; returns whether they are durable.
     * Nothing may be counted afterwards.
     */
    suspend fun finish(timeout: Duration): Boolean {
        val written = withTimeoutOrNull(timeout) { mutex.withLock { flushUntilWritten() } } ?: false
        if (!written) {
            logger.logError(UsageEvents.FINAL_FLUSH_FAILED) { "not confirmed as written: ${unwritten()}" }
        }
        return written
    }

    private suspend fun flushUntilWritten(): Boolean {
        ended = true
        while (!flushChanges()) {
            delay(FINAL_RETRY_DELAY)
        }
        return true
    }

    private suspend fun flushSafely() {
        try {
            flush()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (exception: IllegalStateException) {
            logger.logError(UsageEvents.FLUSH_FAILED) { "$exception" }
        }
    }

    private suspend fun flushChanges(): Boolean {
        if (versionUncertain && !resolveVersion()) {
            return false
        }
        val next = current()
        if (!isDue(next)) {
            return true
        }
        check(lastAttempted?.let { next.covers(it) } != false) { "a usage total of ${next.name} decreased" }
        lastAttempted = next
        versionUncertain = true
        return when (val result = store.put(next.name, encode(next), condition)) {
            is Either.Left -> handleFailure(result.value)
            is Either.Right -> handleWritten(next, PutCondition.Version(result.value))
        }
    }

    private fun handleWritten(
        usage: VmUsage,
        version: PutCondition,
    ): Boolean {
        condition = version
        lastDurable = usage
        versionUncertain = false
        return true
    }

    private fun handleFailure(error: PlatformError): Boolean {
        logger.logWarning(UsageEvents.FLUSH_FAILED) { "$error" }
        return false
    }

    /** Reads the version of this process's object after a failed write; returns false if it cannot be read. */
    private suspend fun resolveVersion(): Boolean {
        val name = checkNotNull(lastAttempted).name
        return when (val result = store.get(name)) {
            is Either.Left -> handleFailure(result.value)
            is Either.Right -> handleRead(result.value)
        }
    }

    private fun handleRead(stored: StoredObject?): Boolean {
        when {
            stored != null -> adoptStored(stored)
            condition != PutCondition.Absent -> startNewObject()
        }
        versionUncertain = false
        return true
    }

    private fun adoptStored(stored: StoredObject) {
        val found = WireJson.decodeFromString(VmUsage.serializer(), stored.value)
        check(checkNotNull(lastAttempted).covers(found)) { "another process has written ${stored.name}" }
        condition = PutCondition.Version(stored.version)
        lastDurable = found
    }

    /**
     * Continues in a new object after the old one was deleted because this process was considered dead. The old object
     * may contain the last attempted write, so those counts are removed; otherwise they might be billed twice.
     */
    private fun startNewObject() {
        val last = checkNotNull(lastAttempted)
        logger.logError(UsageEvents.OBJECT_DELETED) { last.name }
        meter.remove(last.organisations.mapValues { it.value.total })
        objectNumber++
        condition = PutCondition.Absent
        lastAttempted = null
        lastDurable = null
    }

    /** Sum over all organisations of the counts that are not confirmed durable. */
    private fun unwritten(): UsageTotals {
        val counted = UsageTotals.sum(meter.snapshot().values.map { it.total })
        return counted -
            UsageTotals.sum(
                lastDurable
                    ?.organisations
                    .orEmpty()
                    .values
                    .map { it.total },
            )
    }

    private fun current() =
        VmUsage(
            vm = vm,
            incarnation = incarnation,
            objectNumber = objectNumber,
            writtenAt = clock.now().toEpochMilliseconds(),
            ended = ended,
            organisations = meter.snapshot(),
        )

    private fun isDue(next: VmUsage): Boolean {
        val last = lastDurable ?: return next.organisations.isNotEmpty()
        val changed = next.organisations != last.organisations || next.ended != last.ended
        return changed || next.writtenAt - last.writtenAt >= UsagePruning.REWRITE_MS
    }

    private fun encode(usage: VmUsage) = WireJson.encodeToString(VmUsage.serializer(), usage)

    private companion object {
        val FINAL_RETRY_DELAY = Duration.parse("100ms")
    }
}
