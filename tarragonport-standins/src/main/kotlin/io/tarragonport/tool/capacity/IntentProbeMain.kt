package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.daemon.intent.IntentSettings
import io.tarragonport.tool.ToolArguments
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

/**
 * Measures object store writes per non-repeatable request and the latency of claims at several claim rates. Prints one
 * JSON line for each rate.
 */
class IntentProbeMain {
    @Option(name = "--rates", usage = "claim rates to measure, in claims per second over all VMs, separated by commas")
    private var claimRates: String = "1,10,100,190"

    @Option(name = "--vms", usage = "number of VMs")
    private var vms: Int = 7

    @Option(name = "--seconds", usage = "duration of the measurement of each rate in seconds")
    private var seconds: Int = 20

    @Option(name = "--head-records", usage = "number of finished records in each bucket head at the start")
    private var headRecords: Int = 0

    @Option(
        name = "--batch-wait-ms",
        usage = "time for which claims of a bucket are batched into one write, in milliseconds",
    )
    private var batchWaitMs: Long = IntentSettings().batchWait.inWholeMilliseconds

    @Option(
        name = "--settle-wait-ms",
        usage = "longest time a response waits for a claim whose write it can share, in milliseconds",
    )
    private var settleWaitMs: Long = IntentSettings().settleWait.inWholeMilliseconds

    @Option(name = "--seal-bytes", usage = "size in bytes at which a bucket head is sealed")
    private var sealBytes: Int = IntentSettings().sealBytes

    @Option(name = "--owners", usage = "forward claims to the VM that owns their bucket")
    private var forwardToOwners: Boolean = false

    @Option(name = "--seed", usage = "random seed of the arrivals")
    private var seed: Long = 1

    @Option(
        name = "--warm-up-seconds",
        usage = "duration of the warm-up at the highest rate in seconds; its results are not reported",
    )
    private var warmUpSeconds: Int = 5

    private fun run() =
        runBlocking {
            val requestedRates = claimRates.split(',').map { it.trim().toInt() }
            if (warmUpSeconds > 0) {
                measure(requestedRates.max(), warmUpSeconds)
            }
            requestedRates.forEach {
                println(WireJson.encodeToString(IntentProbeResult.serializer(), measure(it, seconds)))
            }
        }

    private suspend fun measure(
        rate: Int,
        duration: Int,
    ): IntentProbeResult = IntentProbe(vms, rate, duration, headRecords, settings(), forwardToOwners, seed).run()

    private fun settings() =
        IntentSettings(
            batchWait = batchWaitMs.milliseconds,
            settleWait = settleWaitMs.milliseconds,
            sealBytes = sealBytes,
        )

    companion object {
        @JvmStatic
        fun main(arguments: Array<String>) {
            val command = ToolArguments.parse(IntentProbeMain(), arguments)
            command.run()
            exitProcess(0)
        }
    }
}
