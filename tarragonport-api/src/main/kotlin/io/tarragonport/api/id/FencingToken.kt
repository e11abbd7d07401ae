package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Grows by one each time a lease changes hands; a receiver that checks it refuses orders with a lower one. */
@Serializable
@JvmInline
value class FencingToken(
    val value: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
