package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass

/**
 * Minimum service of one class in one pool: a share of the starts made in the window while the class had requests
 * waiting, and no gap longer than half the window. Starts made while nothing of the class waited do not count, so an
 * idle class accumulates no credit for a later burst.
 */
internal class ClassFloor(
    private val requestClass: RequestClass,
) {
    private val windowNanos = requestClass.floorWindowSeconds.coerceAtLeast(1) * NANOS_PER_SECOND
    private val ownStarts = WindowCount(windowNanos)
    private val allStarts = WindowCount(windowNanos)
    private var waitingSince = NOT_WAITING

    /**
     * Counts a start of a request of class [started]; [stillWaiting] is set if this class has more requests waiting.
     */
    fun started(
        started: RequestClass,
        now: Long,
        stillWaiting: Boolean,
    ) {
        if (waitingSince != NOT_WAITING) allStarts.increment(now)
        if (started.id != requestClass.id) return
        ownStarts.increment(now)
        waitingSince = if (stillWaiting) now else NOT_WAITING
    }

    fun waiting(now: Long) {
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
        val dueStarts = requestClass.floorShare * (allStarts.count(now) + 1)
        return (dueStarts >= 1.0 && ownStarts.count(now) < dueStarts) || isOverdue(now)
    }

    private companion object {
        const val NOT_WAITING = Long.MAX_VALUE
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
