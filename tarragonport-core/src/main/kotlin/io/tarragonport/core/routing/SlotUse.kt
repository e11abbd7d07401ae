package io.tarragonport.core.routing

/** Which slots of a backend server a request may use. */
internal enum class SlotUse {
    /** Long requests leave slots free for short ones. A few requests may wait briefly in an engine's queue. */
    NORMAL,

    /** For a class below its floor: any free slot, whatever the tier and length, but no wait in an engine's queue. */
    BELOW_FLOOR,

    /**
     * While another class is below its floor and waits for a free slot: as [NORMAL], but without waiting in an engine's
     * queue. Engines start queued requests by tier, so that a lasting burst of tier 1 would starve the class below its
     * floor.
     */
    NO_ENGINE_QUEUE,
}
