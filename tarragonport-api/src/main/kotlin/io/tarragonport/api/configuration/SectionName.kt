package io.tarragonport.api.configuration

import io.tarragonport.api.id.KeyDigest
import kotlinx.serialization.Serializable

/** Name of a stored section; its object in the object store is named `config/` followed by [value]. */
@Serializable
@JvmInline
value class SectionName(
    val value: String,
) {
    /** Name of the object that holds this section. */
    val objectName: String get() = OBJECT_PREFIX + value

    override fun toString(): String = value

    companion object {
        /** Common prefix of all configuration objects. */
        const val OBJECT_PREFIX = "config/"

        /** Number of objects over which the keys are distributed. */
        const val KEY_SHARDS = 16

        val ORGANISATIONS = SectionName("organisations")
        val CLASSES = SectionName("classes")
        val POOLS = SectionName("pools")
        val ROUTES = SectionName("routes")
        val LIMITS = SectionName("limits")

        /** The shard of the key with [digest], determined by its first hexadecimal digit. */
        fun keyShard(digest: KeyDigest): SectionName = keyShard(digest.value.first().digitToInt(KEY_SHARDS))

        /** The shard with number [index], 0 to 15. */
        fun keyShard(index: Int): SectionName = SectionName("keys/${index.toString(KEY_SHARDS)}")

        /** All sections, key shards first because key withdrawals are urgent. */
        val ALL: List<SectionName> =
            (0 until KEY_SHARDS).map(::keyShard) + listOf(ORGANISATIONS, CLASSES, POOLS, ROUTES, LIMITS)
    }
}
