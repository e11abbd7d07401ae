package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass

/**
 * Minimum service of one class in one pool. The class is entitled to a share of the pool's starts within a sliding
 * window, and waits at most half the window for its next start. Starts made while the class had no requests waiting do
 * not count, so an idle class accumulates no credit for a later burst.
 */
internal class ClassFloor(
    private val requestClass: RequestClass,
) {
    private val windowNanos = requestClass.floorWindowSeconds.coerceAtLeast(1) * NANOS_PER_SECOND

    /** Starts of this class. */
    private val classStarts = WindowCount(windowNanos)

    /** Starts of all classes of the pool while this class had requests waiting. */
    private val poolStarts = WindowCount(windowNanos)

    /** When the class began to wait for its next start: when its queue became non-empty or at its last start. */
    private var waitingSince = NOT_WAITING

    /**
     * Counts a start of a request of class [startedClass]. [stillWaiting] is set if that class has more requests
     * waiting.
     */
    fun started(
        startedClass: RequestClass,
        now: Long,
        stillWaiting: Boolean,
    ) {
        if (waitingSince != NOT_WAITING) poolStarts.increment(now)
        if (startedClass.id != requestClass.id) return
        classStarts.increment(now)
        waitingSince = if (stillWaiting) now else NOT_WAITING
    }

    /** Records that the class has a request waiting. */
    fun requestQueued(now: Long) {
        if (waitingSince == NOT_WAITING) waitingSince = now
    }

    fun queueEmptied() {
        waitingSince = NOT_WAITING
    }

    /** Whether the class has waited for half of its window without a start. */
    private fun isOverdue(now: Long): Boolean = waitingSince != NOT_WAITING && now - waitingSince > windowNanos / 2

    /**
     * Whether the class is below its floor, so that it starts next regardless of tier. The first such start is due once
     * one start is the floor's share of all starts (after 20 at 5%), so a short queue keeps tier order; from then on
     * the share is never below the floor.
     */
    fun isBelowFloor(now: Long): Boolean {
        if (requestClass.floorShare <= 0.0 || waitingSince == NOT_WAITING) return false
        val dueStarts = requestClass.floorShare * (poolStarts.count(now) + 1)
        return (dueStarts >= 1.0 && classStarts.count(now) < dueStarts) || isOverdue(now)
    }

    private companion object {
        const val NOT_WAITING = Long.MAX_VALUE
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
