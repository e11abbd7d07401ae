package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** Content of a sealed segment; immutable. */
@Serializable
data class SealedRecords(
    val records: List<IntentRecord>,
)
