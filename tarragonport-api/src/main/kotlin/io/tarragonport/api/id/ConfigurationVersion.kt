package io.tarragonport.api.id

import kotlinx.serialization.Serializable

/** Version number of a complete configuration; increases with each change, not always by one. */
@Serializable
@JvmInline
value class ConfigurationVersion(
    val value: Long,
) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
