package io.tarragonport.daemon.usage

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.core.usage.ClosedWindow

/**
 * State of a shard as read by its holder. [latest] is the latest closed window, or null if none is closed yet.
 * [reported] is the last window that is completely reported, and [reportedVersion] the version of the object that
 * records it.
 */
internal data class ShardState(
    val latest: ClosedWindow?,
    val reported: UsageWindow,
    val reportedVersion: ObjectVersion,
) {
    /** The window to close next; windows are closed in order and without a gap. */
    val next: UsageWindow get() = UsageWindow((latest?.window ?: reported).value + 1)

    /** The oldest closed window that is not completely reported; null if there is none. */
    val unreported: UsageWindow?
        get() = UsageWindow(reported.value + 1).takeIf { latest != null && it <= latest.window }
}
