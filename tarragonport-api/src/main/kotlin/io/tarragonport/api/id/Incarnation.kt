package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/**
 * Distinguishes successive processes on one VM. The value is the process start in milliseconds since the epoch, so a
 * restarted process has a higher value.
 */
@Serializable
@JvmInline
value class Incarnation(
    val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
