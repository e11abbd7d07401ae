package io.tarragonport.core.health

import kotlin.time.ComparableTimeMark

/** Times of the last success of fingerprints; of more than [MAXIMUM_FINGERPRINTS], those that succeeded last are kept. */
internal class LastSuccesses {
    private val times = LinkedHashMap<String, ComparableTimeMark>()

    operator fun get(fingerprint: String): ComparableTimeMark? = times[fingerprint]

    /** Records a success at [time], which may be before one that is known. */
    fun record(
        fingerprint: String,
        time: ComparableTimeMark,
    ) {
        val known = times.remove(fingerprint)
        times[fingerprint] = if (known == null || known < time) time else known
        if (times.size > MAXIMUM_FINGERPRINTS) times.remove(times.keys.first())
    }

    private companion object {
        const val MAXIMUM_FINGERPRINTS = 8_192
    }
}
