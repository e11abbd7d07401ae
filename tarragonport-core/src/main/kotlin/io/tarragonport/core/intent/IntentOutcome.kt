package io.tarragonport.core.intent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of an [IntentOperation], valid once the head that it was applied to is durable. */
@Serializable
sealed interface IntentOutcome {
    /** The claim was granted. */
    @Serializable
    @SerialName("granted")
    data object Granted : IntentOutcome

    /** The key is claimed by another attempt; [record] is its record. */
    @Serializable
    @SerialName("duplicate")
    data class Duplicate(
        val record: IntentRecord,
    ) : IntentOutcome

    /** The key is claimed by an attempt with a different request body. */
    @Serializable
    @SerialName("different_body")
    data object DifferentBody : IntentOutcome

    /** The response was recorded or the claim was released. */
    @Serializable
    @SerialName("settled")
    data object Settled : IntentOutcome

    /** There is no matching record of the attempt, so nothing was settled. */
    @Serializable
    @SerialName("not_found")
    data object NotFound : IntentOutcome
}
