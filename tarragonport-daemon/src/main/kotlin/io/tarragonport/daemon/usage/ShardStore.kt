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
import io.tarragonport.daemon.store.TimeoutStore

/** Reads and writes the usage objects of one [shard] in the object store. */
internal class ShardStore(
    private val store: TimeoutStore,
    private val shard: Int,
) {
    /**
     * Reads the state of the shard. [start] is the window before the first one to close. It is used and stored only if
     * the shard has no state yet, so that all holders start with the same window.
     */
    suspend fun load(start: UsageWindow): Either<PlatformError, ShardState> =
        either {
            val (reported, version) = readReported().bind() ?: createReported(start).bind()
            val windows = closedWindows().bind().map { UsageNames.windowOf(it.name) }
            val newest = windows.maxOrNull()
            ShardState(newest?.let { readClosed(it).bind() }, reported, version)
        }

    /** Reads the closed window [window]; null if it is not closed. */
    suspend fun readClosed(window: UsageWindow): Either<PlatformError, ClosedWindow?> =
        store.get(UsageNames.closedWindow(shard, window)).map { stored ->
            stored?.let { WireJson.decodeFromString(ClosedWindow.serializer(), it.value) }
        }

    /** Stores [closed]; fails with a conflict if that window is closed already. */
    suspend fun writeClosed(closed: ClosedWindow): Either<PlatformError, ObjectVersion> {
        val value = WireJson.encodeToString(ClosedWindow.serializer(), closed)
        return store.put(UsageNames.closedWindow(shard, closed.window), value, PutCondition.Absent)
    }

    /** Records that all windows up to and including [window] are reported. */
    suspend fun writeReported(
        window: UsageWindow,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        val value = WireJson.encodeToString(ReportedCursor.serializer(), ReportedCursor(window))
        return store.put(UsageNames.reported(shard), value, condition)
    }

    /** Reads the usage objects of all processes. */
    suspend fun processes(): Either<PlatformError, List<VmUsage>> =
        store.list(UsageNames.VMS, withValues = true).map { listing ->
            listing.objects.mapNotNull { it.value }.map { WireJson.decodeFromString(VmUsage.serializer(), it) }
        }

    /** Names and versions of the closed windows. */
    suspend fun closedWindows(): Either<PlatformError, List<ObjectEntry>> =
        store.list(UsageNames.closedWindow(shard), withValues = false).map { it.objects }

    private suspend fun readReported(): Either<PlatformError, Pair<UsageWindow, ObjectVersion>?> =
        store.get(UsageNames.reported(shard)).map { stored ->
            stored?.let { WireJson.decodeFromString(ReportedCursor.serializer(), it.value).window to it.version }
        }

    private suspend fun createReported(start: UsageWindow): Either<PlatformError, Pair<UsageWindow, ObjectVersion>> =
        writeReported(start, PutCondition.Absent).map { start to it }
}
