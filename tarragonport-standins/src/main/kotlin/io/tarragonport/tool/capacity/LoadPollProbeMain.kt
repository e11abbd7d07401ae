package io.tarragonport.tool.capacity

import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.api.backend.EngineRequest
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.routing.LoadPollPlan
import io.tarragonport.platform.backend.HttpBackendServerClient
import io.tarragonport.standin.engine.EngineSettings
import io.tarragonport.standin.engine.EngineStandIn
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.runBlocking
import java.util.Locale

/** Measures the bytes sent and received by a load poll, which reads the load report and the cache events over HTTP. */
object LoadPollProbeMain {
    private const val POLLS = 200
    private const val PROMPTS = 20

    /** Number of prefix cache blocks that each prompt fills; each block causes one cache event. */
    private const val BLOCKS_PER_PROMPT = 8
    private const val CHARACTERS_PER_BLOCK = 256

    /** Polls per second in current deployments, which have about 20 servers. */
    private const val CURRENT_POLLS = 20

    @JvmStatic
    fun main(arguments: Array<String>) {
        require(arguments.isEmpty()) { "the load poll probe takes no arguments" }
        EngineStandIn(EngineSettings("engine-0", tokensPerSecond = 10_000.0)).start().use { engine ->
            CountingProxy(engine.port).use { proxy ->
                HttpBackendServerClient().use { client -> runBlocking { measure(client, engine, proxy) } }
            }
        }
    }

    private suspend fun measure(
        client: HttpBackendServerClient,
        engine: EngineStandIn,
        proxy: CountingProxy,
    ) {
        val address = "http://${EngineStandIn.LOOPBACK}:${proxy.port}"
        val bytesBefore = proxy.bytes
        repeat(POLLS) { poll(client, address, after = 0) }
        val bytesPerPoll = (proxy.bytes - bytesBefore).toDouble() / POLLS
        repeat(PROMPTS) { client.generate(engine.address, prompt(it)).collect() }
        val bytesBeforeEvents = proxy.bytes
        val events = poll(client, address, after = 0)
        val bytesPerEvent = (proxy.bytes - bytesBeforeEvents - bytesPerPoll) / events
        println("bytes_per_poll %.0f bytes_per_cache_event %.1f".format(Locale.ROOT, bytesPerPoll, bytesPerEvent))
        for (polls in listOf(CURRENT_POLLS, LoadPollPlan.SMALL_SUBSET, LoadPollPlan.LARGE_SUBSET_POLLS)) {
            println("%d polls/s: %.0f bytes/s without cache events".format(Locale.ROOT, polls, polls * bytesPerPoll))
        }
    }

    /** Polls once and returns the number of cache events. */
    private suspend fun poll(
        client: HttpBackendServerClient,
        address: String,
        after: Long,
    ): Int {
        check(client.load(address).isRight()) { "engine returned no load report" }
        return checkNotNull(client.cacheEvents(address, after).getOrNull()) { "engine returned no cache events" }.size
    }

    private fun prompt(number: Int) =
        EngineRequest(
            model = "chimney",
            messages =
                listOf(
                    EngineMessage(
                        "user",
                        "$number ".repeat(BLOCKS_PER_PROMPT * CHARACTERS_PER_BLOCK).take(
                            BLOCKS_PER_PROMPT * CHARACTERS_PER_BLOCK,
                        ),
                    ),
                ),
            requestId = RequestId("r$number"),
            priority = 1,
        )
}
