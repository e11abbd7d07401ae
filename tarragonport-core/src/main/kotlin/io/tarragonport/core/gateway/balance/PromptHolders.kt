package io.tarragonport.core.gateway.balance

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds the engine that has most likely cached a shared prompt, so that another engine can fetch the prompt from it.
 *
 * All VMs rank engines identically, so the prompt was processed by the highest-ranked engine, or, if that engine was
 * added recently, by the highest-ranked of the earlier engines. Leaving engines are included, because other engines can
 * still fetch cached prompts from them.
 */
internal object PromptHolders {
    /**
     * The engine expected to have cached the shared prompt with the rank key [key], null if there is none; only engines
     * of the group for short prompts are considered if [shortPrompt], otherwise only the others.
     */
    fun holder(
        key: Long,
        servers: List<TrackedServer>,
        shortPrompt: Boolean,
        now: ComparableTimeMark,
    ): TrackedServer? {
        var firstListedAt: ComparableTimeMark? = null
        for (server in servers) {
            if (server.forShortPrompts != shortPrompt) continue
            if (firstListedAt == null || server.firstSeen < firstListedAt) firstListedAt = server.firstSeen
        }
        val firstListing = firstListedAt ?: return null
        return PromptRank.first(key, servers) { server ->
            server.forShortPrompts == shortPrompt &&
                (server.firstSeen - firstListing < STARTUP_WINDOW || now - server.firstSeen > WARM_UP_TIME) &&
                server.healthy(now)
        }
    }

    /**
     * Shared prompts in use are requested again within this time (`retry_after_s` in the deployment data), so a new
     * engine has cached them by then.
     */
    val WARM_UP_TIME: Duration = 10.seconds

    /** Engines of the first listing are registered within one heartbeat interval. */
    val STARTUP_WINDOW: Duration = 1.5.seconds
}
