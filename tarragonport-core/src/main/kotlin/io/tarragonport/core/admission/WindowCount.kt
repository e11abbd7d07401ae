package io.tarragonport.core.admission

/** Counts events in a sliding window of [windowNanos], divided into 12 buckets. */
internal class WindowCount(
    windowNanos: Long,
) {
    private val bucketNanos = (windowNanos / BUCKETS).coerceAtLeast(1)
    private val counts = IntArray(BUCKETS)
    private var currentBucket = 0L
    private var total = 0

    fun increment(now: Long) {
        advance(now)
        counts[(currentBucket % BUCKETS).toInt()]++
        total++
    }

    fun count(now: Long): Int {
        advance(now)
        return total
    }

    private fun advance(now: Long) {
        val bucket = now / bucketNanos
        if (bucket - currentBucket >= BUCKETS) {
            counts.fill(0)
            total = 0
            currentBucket = bucket
        }
        while (currentBucket < bucket) {
            currentBucket++
            val place = (currentBucket % BUCKETS).toInt()
            total -= counts[place]
            counts[place] = 0
        }
    }

    private companion object {
        const val BUCKETS = 12
    }
}
