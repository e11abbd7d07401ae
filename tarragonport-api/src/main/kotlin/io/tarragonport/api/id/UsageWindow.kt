package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Number of a usage window: seconds since the epoch divided by the window length of [LENGTH_SECONDS]. */
@Serializable
@JvmInline
value class UsageWindow(
    val value: Long,
) : Comparable<UsageWindow> {
    override fun compareTo(other: UsageWindow): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** Length of a window in seconds. */
        const val LENGTH_SECONDS = 60L
    }
}
