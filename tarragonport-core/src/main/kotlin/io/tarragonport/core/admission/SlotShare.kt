package io.tarragonport.core.admission

/** The part of a backend server's slots that one VM may use, which keeps the engine's queue short. */
object SlotShare {
    /**
     * Slots of a server with [slots] that belong to one of [liveVms] VMs, at least one.
     *
     * Rounded up: engines queue the small excess, while rounding down would leave slots unused.
     */
    fun of(
        slots: Int,
        liveVms: Int,
    ): Int {
        val vmCount = liveVms.coerceAtLeast(1)
        return ((slots + vmCount - 1) / vmCount).coerceAtLeast(1)
    }
}
