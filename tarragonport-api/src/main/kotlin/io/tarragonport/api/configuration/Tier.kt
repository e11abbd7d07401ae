package io.tarragonport.api.configuration

import kotlinx.serialization.Serializable

/** Priority tier from 1 (highest) to 4 (lowest). */
@Serializable
@JvmInline
value class Tier(
    val value: Int,
) : Comparable<Tier> {
    override fun compareTo(other: Tier): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        val HIGHEST = Tier(1)
        val LOWEST = Tier(4)
    }
}
