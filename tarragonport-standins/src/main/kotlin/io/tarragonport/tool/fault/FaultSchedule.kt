package io.tarragonport.tool.fault

import kotlin.random.Random

/**
 * One fault at [atMs] after the start. [target] and [durationMs] are drawn in advance, so that a seed always gives the
 * same schedule.
 */
data class ScheduledFault<Kind>(
    val atMs: Long,
    val kind: Kind,
    val target: Int,
    val durationMs: Long,
)

/** Draws the faults of a run from its seed: each kind once in random order, then kinds at random. */
object FaultSchedule {
    private const val START_MS = 4_000L
    private const val MINIMUM_GAP_MS = 1_500L
    private const val MAXIMUM_GAP_MS = 3_500L
    private const val MINIMUM_DURATION_MS = 1_000L
    private const val MAXIMUM_DURATION_MS = 14_000L
    private const val TARGET_RANGE = 1_000

    fun <Kind> draw(
        kinds: List<Kind>,
        seed: Long,
        seconds: Int,
    ): List<ScheduledFault<Kind>> {
        val random = Random(seed)
        val unusedKinds = ArrayDeque(kinds.shuffled(random))
        val faults = mutableListOf<ScheduledFault<Kind>>()
        var at = START_MS
        while (at < seconds * 1_000L) {
            val kind = unusedKinds.removeFirstOrNull() ?: kinds[random.nextInt(kinds.size)]
            val duration = random.nextLong(MINIMUM_DURATION_MS, MAXIMUM_DURATION_MS)
            faults += ScheduledFault(at, kind, random.nextInt(TARGET_RANGE), duration)
            at += random.nextLong(MINIMUM_GAP_MS, MAXIMUM_GAP_MS)
        }
        return faults
    }
}
