package io.tarragonport.core.configuration

import io.tarragonport.api.id.ObjectVersion

/** Text of a section with its [version]. */
data class VersionedSection(
    val version: ObjectVersion,
    val text: String,
)
