package io.tarragonport.core.usage

/** Decides which usage objects of ended processes can be deleted. */
object UsagePruning {
    /**
     * Time since the last write of an object after which its process counts as dead. A live process writes at least
     * every [REWRITE_MS].
     */
    const val DEAD_AFTER_MS = 24L * 3600 * 1000

    /** Maximum time between two writes of a live process, even without changes. */
    const val REWRITE_MS = 6L * 3600 * 1000

    /**
     * Returns true if the process of [usage] has ended and all its counts are in the figures of every shard.
     *
     * [latest] has the latest closed window of each shard; [now] is in milliseconds since the epoch.
     */
    fun isDeletable(
        usage: VmUsage,
        latest: List<ClosedWindow>,
        shards: Int,
        now: Long,
    ): Boolean {
        val ended = usage.ended || now - usage.writtenAt > DEAD_AFTER_MS
        val allShardsClosed = latest.mapTo(HashSet()) { it.shard }.size == shards
        return ended && allShardsClosed && latest.all { it.includesAll(usage, shards) }
    }
}
