package io.tarragonport.core.usage

/** Decides which objects of ended processes can be deleted. */
object UsagePruning {
    /**
     * Age in milliseconds since its last write from which the process of an object is taken for dead. A live process
     * writes at least every [REWRITE_MS].
     */
    const val DEAD_AFTER_MS = 24L * 3600 * 1000

    /** Longest time in milliseconds between two writes of a live process, also if nothing changed. */
    const val REWRITE_MS = 6L * 3600 * 1000

    /**
     * Returns true if the process of [usage] ended and everything it counted is in the figures of every shard.
     *
     * [latest] is the latest fixed window of each shard; [now] in milliseconds since the epoch.
     */
    fun isDeletable(
        usage: VmUsage,
        latest: List<ClosedWindow>,
        shards: Int,
        now: Long,
    ): Boolean {
        val ended = usage.ended || now - usage.writtenAt > DEAD_AFTER_MS
        val complete = latest.mapTo(HashSet()) { it.shard }.size == shards
        return ended && complete && latest.all { it.includesAll(usage, shards) }
    }
}
