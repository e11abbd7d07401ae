package io.tarragonport.api.configuration

import kotlinx.serialization.Serializable

/**
 * The complete configuration as edited by operators.
 *
 * Each property is a section owned by one team and stored as a separate object (keys as [SectionName.KEY_SHARDS]
 * objects), so that edits of different sections never conflict.
 */
@Serializable
data class ConfigurationDocument(
    val organisations: List<Organisation> = emptyList(),
    val keys: List<KeyRecord> = emptyList(),
    val classes: List<RequestClass> = emptyList(),
    val pools: List<Pool> = emptyList(),
    val routes: List<Route> = emptyList(),
    val limits: List<Limit> = emptyList(),
)
