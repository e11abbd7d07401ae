package io.tarragonport.daemon.usage

import arrow.core.Either
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.core.usage.ClosedWindow
import io.tarragonport.core.usage.UsageNames
import io.tarragonport.core.usage.UsagePruning
import io.tarragonport.core.usage.VmUsage
import io.tarragonport.daemon.event.logInfo
import io.tarragonport.daemon.event.logWarning
import io.tarragonport.daemon.store.TimeoutStore
import kotlin.time.Clock
import kotlin.time.Instant

private val logger = KotlinLogging.logger {}

/**
 * Deletes closed windows of [shard] whose retention has ended; the holder of shard 0 also deletes the objects of ended
 * processes.
 */
internal class UsagePruner(
    private val store: TimeoutStore,
    private val shardStore: ShardStore,
    private val shard: Int,
    private val shards: Int,
    private val clock: Clock,
    private val settings: UsageSettings,
) {
    private var lastRun: Instant? = null

    /** Prunes if the last run was long enough ago; failures are retried in the next run. */
    suspend fun pruneIfDue(state: ShardState) {
        val now = clock.now()
        if (lastRun?.let { now - it < settings.pruneInterval } == true) {
            return
        }
        lastRun = now
        pruneClosed(state, now).onLeft(::logFailure)
        if (shard == 0) {
            pruneProcesses(now).onLeft(::logFailure)
        }
    }

    private suspend fun pruneClosed(
        state: ShardState,
        now: Instant,
    ): Either<PlatformError, Unit> =
        either {
            val oldestKept = UsageWindow((now - settings.closedRetention).epochSeconds / UsageWindow.LENGTH_SECONDS)
            val expired = shardStore.closedWindows().bind().filter { UsageNames.windowOf(it.name) < oldestKept }
            val lastClosed = state.latest?.window ?: state.reported
            expired
                .filter { UsageNames.windowOf(it.name) <= state.reported && UsageNames.windowOf(it.name) < lastClosed }
                .forEach { store.delete(it.name, it.version).bind() }
        }

    private suspend fun pruneProcesses(now: Instant): Either<PlatformError, Unit> =
        either {
            val latest = latestOfAllShards().bind()
            for (entry in store.list(UsageNames.VMS, withValues = true).bind().objects) {
                val usage = WireJson.decodeFromString(VmUsage.serializer(), entry.value ?: continue)
                if (UsagePruning.isDeletable(usage, latest, shards, now.toEpochMilliseconds())) {
                    store.delete(entry.name, entry.version).bind()
                    logger.logInfo(UsageEvents.OBJECT_PRUNED) { entry.name }
                }
            }
        }

    private suspend fun latestOfAllShards(): Either<PlatformError, List<ClosedWindow>> =
        either {
            val names =
                store
                    .list(UsageNames.CLOSED_WINDOWS, withValues = false)
                    .bind()
                    .objects
                    .map { it.name }
            val newest =
                names.groupBy(UsageNames::shardOf).values.map { ofShard ->
                    ofShard.maxBy { UsageNames.windowOf(it).value }
                }
            newest.mapNotNull { store.get(it).bind() }.map {
                WireJson.decodeFromString(ClosedWindow.serializer(), it.value)
            }
        }

    private fun logFailure(error: PlatformError) {
        logger.logWarning(UsageEvents.STORE_FAILED) { "shard $shard, pruning: $error" }
    }
}
