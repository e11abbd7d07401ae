package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/**
 * Fencing token of a lease, which rises each time the holder changes; receivers that check it refuse orders with a lower
 * one.
 */
@Serializable
@JvmInline
value class FencingToken(
    val value: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
