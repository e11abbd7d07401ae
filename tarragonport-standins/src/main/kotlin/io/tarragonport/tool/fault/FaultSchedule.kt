package io.tarragonport.tool.fault

import kotlin.random.Random

/**
 * One fault at [atMs] after the start; [target] and [durationMs] are chosen in advance, so that a seed gives the same
 * schedule.
 */
data class ScheduledFault<Kind>(
    val atMs: Long,
    val kind: Kind,
    val target: Int,
    val durationMs: Long,
)

/** Draws the faults of a run from its seed: every kind once in shuffled order, then at random. */
object FaultSchedule {
    private const val START_MS = 4_000L
    private const val SHORTEST_GAP_MS = 1_500L
    private const val LONGEST_GAP_MS = 3_500L
    private const val SHORTEST_FAULT_MS = 1_000L
    private const val LONGEST_FAULT_MS = 14_000L
    private const val TARGETS = 1_000

    fun <Kind> draw(
        kinds: List<Kind>,
        seed: Long,
        seconds: Int,
    ): List<ScheduledFault<Kind>> {
        val random = Random(seed)
        val first = ArrayDeque(kinds.shuffled(random))
        val faults = mutableListOf<ScheduledFault<Kind>>()
        var at = START_MS
        while (at < seconds * 1_000L) {
            val kind = first.removeFirstOrNull() ?: kinds[random.nextInt(kinds.size)]
            val duration = random.nextLong(SHORTEST_FAULT_MS, LONGEST_FAULT_MS)
            faults += ScheduledFault(at, kind, random.nextInt(TARGETS), duration)
            at += random.nextLong(SHORTEST_GAP_MS, LONGEST_GAP_MS)
        }
        return faults
    }
}
