package io.tarragonport.core.health

/** The most recent samples of one kind, with their median. */
internal class RecentSamples {
    private val values = FloatArray(CAPACITY)
    private var recorded = 0L

    val isFull: Boolean
        get() = recorded >= CAPACITY

    fun record(value: Double) {
        values[(recorded % CAPACITY).toInt()] = value.toFloat()
        recorded++
    }

    fun clear() {
        recorded = 0
    }

    /** Median of the recent samples; zero without samples. */
    fun median(): Double {
        val size = recorded.coerceAtMost(CAPACITY.toLong()).toInt()
        if (size == 0) return 0.0
        val sorted = values.copyOf(size)
        sorted.sort()
        return sorted[size / 2].toDouble()
    }

    companion object {
        /** Samples kept and required for an evaluation, so that one slow engine step has no effect. */
        const val CAPACITY = 20
    }
}
