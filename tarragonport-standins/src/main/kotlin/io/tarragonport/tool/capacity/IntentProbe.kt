package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.intent.BucketHead
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentRecord
import io.tarragonport.core.intent.IntentState
import io.tarragonport.core.intent.StoredResponse
import io.tarragonport.daemon.intent.ClaimResult
import io.tarragonport.daemon.intent.IntentForwarding
import io.tarragonport.daemon.intent.IntentSettings
import io.tarragonport.daemon.intent.ObjectStoreIntentRegistry
import io.tarragonport.daemon.intent.RecordedResponse
import io.tarragonport.platform.HttpObjectStore
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.standin.platform.PlatformStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.HdrHistogram.ConcurrentHistogram
import org.apache.commons.math3.distribution.ExponentialDistribution
import org.apache.commons.math3.random.Well19937c
import java.lang.management.ManagementFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Measures claims of non-repeatable requests at one rate.
 *
 * The registries of [vmCount] VMs share one platform stand-in, which they access over HTTP on this machine. Requests
 * arrive as a Poisson process at random VMs. Each request claims a new key, runs for [RUN_TIME] and records a response
 * of [RESPONSE_BYTES] bytes.
 */
internal class IntentProbe(
    private val vmCount: Int,
    private val claimRate: Int,
    private val durationSeconds: Int,
    private val headRecords: Int,
    private val settings: IntentSettings,
    private val forwardToOwners: Boolean,
    seed: Long,
) {
    private val random = Random(seed)
    private val interarrivalTimes = ExponentialDistribution(Well19937c(seed), 1.0 / claimRate)
    private val claimLatencies = ConcurrentHistogram(HIGHEST_LATENCY_US, LATENCY_DIGITS)
    private val finishLatencies = ConcurrentHistogram(HIGHEST_LATENCY_US, LATENCY_DIGITS)
    private val requests = AtomicLong()
    private val refusedClaims = AtomicLong()
    private val counters = StoreCallCounters()
    private val response = RecordedResponse(200, "application/json", "A".repeat(RESPONSE_BYTES))

    suspend fun run(): IntentProbeResult =
        PlatformStandIn().use { platform ->
            fillHeads(platform)
            PlatformHttp("http://127.0.0.1:${platform.start()}").use { http -> measure(HttpObjectStore(http)) }
        }

    private suspend fun measure(store: HttpObjectStore): IntentProbeResult {
        val job = Job()
        val scope = CoroutineScope(Dispatchers.Default + job)
        val registries = registries(store, scope)
        val cpuTimeBefore = processCpuTime()
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            generateLoad(registries)
        }
        registries.forEach { check(it.settle(SETTLE_TIMEOUT)) { "responses were not recorded within $SETTLE_TIMEOUT" } }
        val elapsed = start.elapsedNow()
        val cpuTime = processCpuTime() - cpuTimeBefore
        job.cancel()
        return result(elapsed, cpuTime)
    }

    private fun registries(
        store: HttpObjectStore,
        scope: CoroutineScope,
    ): List<ObjectStoreIntentRegistry> {
        val byVm = ConcurrentHashMap<VmId, ObjectStoreIntentRegistry>()
        for (index in 0 until vmCount) {
            val vm = VmId("vm-$index")
            byVm[vm] =
                ObjectStoreIntentRegistry(
                    store = CountingObjectStore(store, counters),
                    vm = vm,
                    incarnation = Incarnation(1),
                    scope = scope,
                    clock = Clock.System,
                    settings = settings,
                    forwarding =
                        if (forwardToOwners) InProcessForwarding(index, vmCount, byVm) else IntentForwarding.None,
                )
        }
        return byVm.values.toList()
    }

    private suspend fun generateLoad(registries: List<ObjectStoreIntentRegistry>) =
        coroutineScope {
            val start = TimeSource.Monotonic.markNow()
            var nextArrival = interarrivalTimes.sample().seconds
            while (nextArrival < durationSeconds.seconds) {
                delay(nextArrival - start.elapsedNow())
                val registry = registries.random(random)
                launch(Dispatchers.Default) { request(registry) }
                nextArrival += interarrivalTimes.sample().seconds
            }
        }

    private suspend fun request(registry: ObjectStoreIntentRegistry) {
        val key = "key-${requests.incrementAndGet()}"
        val start = TimeSource.Monotonic.markNow()
        val result = registry.claim(ORGANISATION, key, BODY_DIGEST, RETENTION_HOURS).getOrNull()
        record(claimLatencies, start)
        if (result !is ClaimResult.Granted) {
            refusedClaims.incrementAndGet()
            return
        }
        delay(RUN_TIME)
        val finishStart = TimeSource.Monotonic.markNow()
        registry.finish(result.grant, response)
        record(finishLatencies, finishStart)
    }

    private fun record(
        histogram: ConcurrentHistogram,
        start: TimeMark,
    ) = histogram.recordValue(start.elapsedNow().inWholeMicroseconds.coerceAtMost(HIGHEST_LATENCY_US))

    /** Stores [headRecords] finished records in every bucket head, as would accumulate over hours of traffic. */
    private fun fillHeads(platform: PlatformStandIn) {
        if (headRecords == 0) {
            return
        }
        for (bucket in 0 until IntentNames.BUCKETS) {
            val records = List(headRecords) { finishedRecord("$bucket-$it") }
            val head = BucketHead(records = records.associateBy { it.digest })
            val value = WireJson.encodeToString(BucketHead.serializer(), head)
            platform.objects.put(IntentNames.head(bucket), value, PutCondition.Absent)
        }
    }

    private fun finishedRecord(key: String): IntentRecord {
        val now = Clock.System.now()
        return IntentRecord(
            digest = IntentNames.digest(OrganisationId("earlier"), key),
            bodyDigest = BODY_DIGEST,
            attempt = "vm-0-1-$key",
            state = IntentState.FINISHED,
            claimedAt = now.toEpochMilliseconds(),
            expiresAt = (now + RETENTION_HOURS.hours).toEpochMilliseconds(),
            answer = StoredResponse(response.status, response.contentType, response.bodyBase64),
        )
    }

    private fun result(
        elapsed: Duration,
        cpuTime: Duration,
    ): IntentProbeResult {
        val duration = elapsed.toDouble(DurationUnit.SECONDS)
        val total = requests.get()
        return IntentProbeResult(
            claimRatePerSecond = claimRate,
            vms = vmCount,
            buckets = IntentNames.BUCKETS,
            durationSeconds = durationSeconds,
            headRecordsAtStart = headRecords,
            claimsSentToOwners = forwardToOwners,
            batchWaitMs = settings.batchWait.inWholeMilliseconds,
            settleWaitMs = settings.settleWait.inWholeMilliseconds,
            sealBytes = settings.sealBytes,
            requests = total,
            refused = refusedClaims.get(),
            writes = counters.writes.get(),
            conflicts = counters.conflicts.get(),
            reads = counters.reads.get(),
            writesPerRequest = counters.writes.get().toDouble() / total,
            readsPerRequest = counters.reads.get().toDouble() / total,
            writesPerSecond = counters.writes.get() / duration,
            kilobytesWrittenPerSecond = counters.bytesWritten.get() / duration / BYTES_PER_KILOBYTE,
            kilobytesReadPerSecond = counters.bytesRead.get() / duration / BYTES_PER_KILOBYTE,
            claimP50Ms = percentile(claimLatencies, MEDIAN),
            claimP95Ms = percentile(claimLatencies, PERCENTILE_95),
            claimP99Ms = percentile(claimLatencies, PERCENTILE_99),
            claimMaxMs = claimLatencies.maxValue / MICROSECONDS_PER_MILLISECOND,
            finishP50Ms = percentile(finishLatencies, MEDIAN),
            finishP99Ms = percentile(finishLatencies, PERCENTILE_99),
            processorSecondsPerSecond = cpuTime.toDouble(DurationUnit.SECONDS) / duration,
        )
    }

    private fun percentile(
        histogram: ConcurrentHistogram,
        percent: Double,
    ) = histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND

    private fun processCpuTime(): Duration {
        val bean = ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean
        return bean.processCpuTime.nanoseconds
    }

    private companion object {
        val ORGANISATION = OrganisationId("probe")
        val RUN_TIME = 50.milliseconds
        val SETTLE_TIMEOUT = 30.seconds
        const val BODY_DIGEST = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
        const val RETENTION_HOURS = 24
        const val RESPONSE_BYTES = 100
        const val HIGHEST_LATENCY_US = 10_000_000L
        const val LATENCY_DIGITS = 3
        const val MICROSECONDS_PER_MILLISECOND = 1000.0
        const val BYTES_PER_KILOBYTE = 1000.0
        const val MEDIAN = 50.0
        const val PERCENTILE_95 = 95.0
        const val PERCENTILE_99 = 99.0
    }
}
