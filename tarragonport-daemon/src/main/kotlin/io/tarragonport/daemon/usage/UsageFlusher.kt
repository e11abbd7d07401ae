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
import io.tarragonport.daemon.store.LimitedStore
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
 * Only this process writes the object and the counts are cumulative, so after a failed call or a conflict it reads the
 * version and writes again.
 */
class UsageFlusher(
    store: ObjectStore,
    private val meter: OrganisationMeter,
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val settings: UsageSettings = UsageSettings(),
) {
    private val store = LimitedStore(store, settings.callLimit)
    private val mutex = Mutex()
    private var part = 0
    private var condition: PutCondition = PutCondition.Absent
    private var uncertain = false
    private var ended = false
    private var attempted: VmUsage? = null
    private var durable: VmUsage? = null

    /** Flushes until cancelled. */
    suspend fun run() {
        while (true) {
            delay(settings.flushEvery)
            flushSafely()
        }
    }

    /** Writes what changed since the last flush; returns true if nothing is left to write. */
    suspend fun flush(): Boolean = mutex.withLock { flushChanges() }

    /**
     * Writes the last counts and marks the process as ended, within [limit]; returns whether they are durable. Nothing
     * may be counted afterwards.
     */
    suspend fun finish(limit: Duration): Boolean {
        val written = withTimeoutOrNull(limit) { mutex.withLock { flushUntilWritten() } } ?: false
        if (!written) {
            logger.logError(UsageEvents.FINAL_FLUSH_FAILED) { "not known to be written: ${unwritten()}" }
        }
        return written
    }

    private suspend fun flushUntilWritten(): Boolean {
        ended = true
        while (!flushChanges()) {
            delay(FINAL_RETRY)
        }
        return true
    }

    private suspend fun flushSafely() {
        try {
            flush()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (broken: IllegalStateException) {
            logger.logError(UsageEvents.FLUSH_FAILED) { "$broken" }
        }
    }

    private suspend fun flushChanges(): Boolean {
        if (uncertain && !resolve()) {
            return false
        }
        val next = current()
        if (!isDue(next)) {
            return true
        }
        check(attempted?.let { next.covers(it) } != false) { "a total of ${next.name} decreased" }
        attempted = next
        uncertain = true
        return when (val result = store.put(next.name, encode(next), condition)) {
            is Either.Left -> afterFailure(result.value)
            is Either.Right -> written(next, PutCondition.Version(result.value))
        }
    }

    private fun written(
        usage: VmUsage,
        version: PutCondition,
    ): Boolean {
        condition = version
        durable = usage
        uncertain = false
        return true
    }

    private fun afterFailure(error: PlatformError): Boolean {
        logger.logWarning(UsageEvents.FLUSH_FAILED) { "$error" }
        return false
    }

    /** Finds out the version of the own object after a failed write; false if it cannot be read. */
    private suspend fun resolve(): Boolean {
        val name = checkNotNull(attempted).name
        return when (val result = store.get(name)) {
            is Either.Left -> afterFailure(result.value)
            is Either.Right -> resolved(result.value)
        }
    }

    private fun resolved(stored: StoredObject?): Boolean {
        when {
            stored != null -> adopt(stored)
            condition != PutCondition.Absent -> startNextPart()
        }
        uncertain = false
        return true
    }

    private fun adopt(stored: StoredObject) {
        val found = WireJson.decodeFromString(VmUsage.serializer(), stored.value)
        check(checkNotNull(attempted).covers(found)) { "another process writes ${stored.name}" }
        condition = PutCondition.Version(stored.version)
        durable = found
    }

    /**
     * Goes on in a new object after the old one was deleted as that of a dead process. What was attempted last counts
     * as included there: it may have been, and must not be billed twice.
     */
    private fun startNextPart() {
        val last = checkNotNull(attempted)
        logger.logError(UsageEvents.OBJECT_DELETED) { last.name }
        meter.remove(last.organisations.mapValues { it.value.total })
        part++
        condition = PutCondition.Absent
        attempted = null
        durable = null
    }

    /** Sum over all organisations of what is not known to be durable. */
    private fun unwritten(): UsageTotals {
        val counted = UsageTotals.sum(meter.snapshot().values.map { it.total })
        return counted -
            UsageTotals.sum(
                durable
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
            part = part,
            writtenAt = clock.now().toEpochMilliseconds(),
            ended = ended,
            organisations = meter.snapshot(),
        )

    private fun isDue(next: VmUsage): Boolean {
        val last = durable ?: return next.organisations.isNotEmpty()
        val changed = next.organisations != last.organisations || next.ended != last.ended
        return changed || next.writtenAt - last.writtenAt >= UsagePruning.REWRITE_MS
    }

    private fun encode(usage: VmUsage) = WireJson.encodeToString(VmUsage.serializer(), usage)

    private companion object {
        val FINAL_RETRY = Duration.parse("100ms")
    }
}
