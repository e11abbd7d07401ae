package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/**
 * Fencing token of a lease, incremented by one each time the holder changes; receivers that check it refuse orders with
 * a lower one.
 */
@Serializable
@JvmInline
value class FencingNumber(
    val value: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
