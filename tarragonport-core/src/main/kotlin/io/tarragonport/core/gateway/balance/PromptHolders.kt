package io.tarragonport.core.gateway.balance

import io.tarragonport.api.gateway.PromptShape
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells which engine is believed to keep a shared prompt, so that another one can fetch it from there.
 *
 * All VMs rank engines alike, so the engine of the highest rank has read the prompt, unless it joined lately: then the
 * best of the earlier ones has it. Leaving engines still hand out what they keep.
 */
internal class PromptHolders(
    servers: List<TrackedServer>,
    now: ComparableTimeMark,
) {
    private val settled: List<TrackedServer>

    init {
        val oldest = servers.minOfOrNull { it.knownSince }
        settled =
            servers.filter { server ->
                val early = oldest != null && server.knownSince - oldest < STARTED_TOGETHER
                (early || now - server.knownSince > FILL_TIME) && server.sound(now)
            }
    }

    /** The engine that keeps the shared parts of [prompt], null if none is known. */
    fun holder(prompt: PromptShape): TrackedServer? = PromptRank.first(prompt, settled)

    companion object {
        /** Shared prompts that are in use come back within this time (`retry_after_s` of the deployments' sheets). */
        val FILL_TIME: Duration = 10.seconds

        /** Engines of the first listing are registered within one heartbeat of each other. */
        val STARTED_TOGETHER: Duration = 1.5.seconds
    }
}
