package io.tarragonport.standin.engine

import io.tarragonport.api.backend.ModelOrder
import kotlinx.serialization.Serializable

/**
 * A model order received by an engine stand-in.
 *
 * [accepted] is false if its fencing token was stale, [repeated] is true if an order with its id was accepted before.
 */
@Serializable
data class ReceivedModelOrder(
    val order: ModelOrder,
    val accepted: Boolean,
    val repeated: Boolean,
)
