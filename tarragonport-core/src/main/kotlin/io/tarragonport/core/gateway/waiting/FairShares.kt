package io.tarragonport.core.gateway.waiting

/**
 * The work that was dispatched for each key while others waited, for the decision whose turn it is.
 *
 * A key that begins to wait is treated as if it had got as much as the one that got least among those that wait, so that
 * it neither claims work for the time in which it sent nothing nor is behind those that waited before it.
 */
internal class FairShares<K> {
    private val work = HashMap<K, Double>()

    /** The work dispatched for [key], which must wait. */
    fun of(key: K): Double = work[key] ?: 0.0

    /** Records that a request of [key] begins to wait. */
    fun waits(key: K) {
        if (key !in work) work[key] = work.values.minOrNull() ?: 0.0
    }

    /** Records that [amount] of work was dispatched for [key]. */
    fun dispatched(
        key: K,
        amount: Double,
    ) {
        work[key] = of(key) + amount
    }

    /** Forgets all keys but those in [waiting]. */
    fun retain(waiting: Set<K>) {
        work.keys.retainAll(waiting)
    }
}
