package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/**
 * Era of the object store, which rises each time the store is restored from an older copy of its content.
 *
 * Versions and revisions of two eras cannot be compared, because a restored store assigns revisions again.
 */
@Serializable
@JvmInline
value class StoreEra(
    val value: Long,
) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
