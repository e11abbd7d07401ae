package io.tarragonport.daemon.placement

import io.tarragonport.api.backend.ModelOrder
import kotlin.time.ComparableTimeMark

/** Progress of loading the model of one server under the current fencing token. */
internal class ModelLoadProgress {
    /** True once the weight store has accepted the transfer. */
    var transferred = false

    /** The order as first sent; retries reuse its id. */
    var order: ModelOrder? = null

    /** Time at which the server accepted [order]. */
    var orderedAt: ComparableTimeMark? = null
}
