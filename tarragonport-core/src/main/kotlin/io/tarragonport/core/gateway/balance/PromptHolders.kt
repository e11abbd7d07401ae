package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
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
internal class PromptHolders(
    servers: List<TrackedServer>,
    now: ComparableTimeMark,
) {
    private val candidates: List<TrackedServer>

    init {
        val firstListedAt = servers.minOfOrNull { it.firstSeen }
        candidates =
            servers.filter { server ->
                val inFirstListing = firstListedAt != null && server.firstSeen - firstListedAt < STARTUP_WINDOW
                (inFirstListing || now - server.firstSeen > WARM_UP_TIME) && server.healthy(now)
            }
    }

    /** The engine expected to have the shared parts of [prompt] in its cache, null if there is none. */
    fun holder(prompt: PromptShape): TrackedServer? = PromptRank.first(prompt, candidates)

    companion object {
        /**
         * Shared prompts in use are requested again within this time (`retry_after_s` in the deployment data), so a new
         * engine has cached them by then.
         */
        val WARM_UP_TIME: Duration = 10.seconds

        /** Engines of the first listing are registered within one heartbeat interval. */
        val STARTUP_WINDOW: Duration = 1.5.seconds
    }
}
