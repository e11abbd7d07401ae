package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass

/** Invariant checked at each start: a class below its floor gets the first slot that it can use. */
internal object FloorInvariant {
    /**
     * Checks a start of a class that is not below its floor. [passedOver] is a class below its floor, and [couldStart]
     * is set if it could use that slot.
     */
    fun checkStart(
        passedOver: RequestClass,
        couldStart: Boolean,
    ) = check(
        !couldStart,
    ) { "class ${passedOver.id} is below its floor but was passed over for a slot that it can use" }
}
