package io.tarragonport.daemon.usage

import arrow.core.Either
import arrow.core.raise.either
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.usage.ClosedWindow
import io.tarragonport.core.usage.ReportedCursor
import io.tarragonport.core.usage.UsageNames
import io.tarragonport.core.usage.VmUsage
import io.tarragonport.daemon.store.LimitedStore

/** Reads and writes the usage objects of one [shard]. */
internal class ShardObjects(
    private val store: LimitedStore,
    private val shard: Int,
) {
    /**
     * Reads the state of the shard. [start] is the window before the first one to close; it is only used, and made
     * durable, if the shard has no state yet, so that all holders begin with the same window.
     */
    suspend fun load(start: UsageWindow): Either<PlatformError, ShardState> =
        either {
            val (reported, version) = readReported().bind() ?: createReported(start).bind()
            val windows = fixedWindows().bind().map { UsageNames.windowOf(it.name) }
            val newest = windows.maxOrNull()
            ShardState(newest?.let { readFixed(it).bind() }, reported, version)
        }

    /** Reads the fixed window [window]; null if it is not fixed. */
    suspend fun readFixed(window: UsageWindow): Either<PlatformError, ClosedWindow?> =
        store.get(UsageNames.fixed(shard, window)).map { stored ->
            stored?.let { WireJson.decodeFromString(ClosedWindow.serializer(), it.value) }
        }

    /** Fixes [fixed], unless its window is fixed already. */
    suspend fun fix(fixed: ClosedWindow): Either<PlatformError, ObjectVersion> {
        val value = WireJson.encodeToString(ClosedWindow.serializer(), fixed)
        return store.put(UsageNames.fixed(shard, fixed.window), value, PutCondition.Absent)
    }

    /** Records that all windows up to [window] are reported. */
    suspend fun writeReported(
        window: UsageWindow,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        val value = WireJson.encodeToString(ReportedCursor.serializer(), ReportedCursor(window))
        return store.put(UsageNames.reported(shard), value, condition)
    }

    /** Reads the objects of all processes. */
    suspend fun processes(): Either<PlatformError, List<VmUsage>> =
        store.list(UsageNames.VMS, withValues = true).map { listing ->
            listing.objects.mapNotNull { it.value }.map { WireJson.decodeFromString(VmUsage.serializer(), it) }
        }

    /** Names and versions of the fixed windows. */
    suspend fun fixedWindows(): Either<PlatformError, List<ObjectEntry>> =
        store.list(UsageNames.fixed(shard), withValues = false).map { it.objects }

    private suspend fun readReported(): Either<PlatformError, Pair<UsageWindow, ObjectVersion>?> =
        store.get(UsageNames.reported(shard)).map { stored ->
            stored?.let { WireJson.decodeFromString(ReportedCursor.serializer(), it.value).window to it.version }
        }

    private suspend fun createReported(start: UsageWindow): Either<PlatformError, Pair<UsageWindow, ObjectVersion>> =
        writeReported(start, PutCondition.Absent).map { start to it }
}
