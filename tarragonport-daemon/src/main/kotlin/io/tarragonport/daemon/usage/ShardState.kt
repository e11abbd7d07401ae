package io.tarragonport.daemon.usage

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.core.usage.ClosedWindow

/**
 * What a holder knows of its shard: the [latest] fixed window, null before the first, the last [reported] window and
 * the version of the object that says so.
 */
internal data class ShardState(
    val latest: ClosedWindow?,
    val reported: UsageWindow,
    val reportedVersion: ObjectVersion,
) {
    /** The window to close next; windows are closed in order and without a gap. */
    val next: UsageWindow get() = UsageWindow((latest?.window ?: reported).value + 1)

    /** The oldest fixed window that is not completely reported, null if there is none. */
    val unreported: UsageWindow?
        get() = UsageWindow(reported.value + 1).takeIf { latest != null && it <= latest.window }
}
