package io.tarragonport.tool.capacity

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.core.limit.FleetSize
import io.tarragonport.core.limit.LimitAggregator
import io.tarragonport.core.limit.LimitEnforcer
import io.tarragonport.core.limit.LimitSubject
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TestTimeSource

/**
 * Simulates rate limiting on one of [VMS] VMs in virtual time, with encoded messages and [REQUESTS_PER_SECOND] requests
 * per second.
 *
 * One aggregator takes the place of the aggregators of all organisations. On average, a VM of a fleet answers as many
 * reports as it sends, so the shares sent to this VM are counted instead of those that it would send. One organisation
 * in [ORGANISATIONS_PER_NEAR_LIMIT] is near its limit; the others use a tenth of theirs.
 */
internal class SimulatedLimits(
    private val organisations: Int,
    seed: Int,
) {
    private val time = TestTimeSource()
    private val random = Random(seed)
    private val enforcer = LimitEnforcer(time)
    private val aggregator = LimitAggregator(time, ::limit)
    private val vmIds = List(VMS) { VmId("vm-$it") }
    private val fleetSize = FleetSize(vmIds.toSet(), 0)
    private val organisationIds = List(organisations) { OrganisationId("organisation-$it") }
    private val limits = organisationIds.associateWith { listOf(limit(LimitSubject(it))) }
    private val threads = ManagementFactory.getThreadMXBean()

    /** Total size of reports and shares in bytes, including the length prefixes of their frames. */
    var bytes = 0L
        private set

    /** CPU time of limit reports and shares, including encoding and decoding. */
    var cpuNanoseconds = 0L
        private set

    fun run(duration: Duration) =
        repeat((duration / TICK).toInt()) {
            val requests = REQUESTS_PER_SECOND * TICK.toDouble(DurationUnit.SECONDS)
            val requestCount = requests.toInt() + if (random.nextDouble() < requests % 1) 1 else 0
            repeat(requestCount) { request(organisationIds.random(random)) }
            val cpuBefore = threads.currentThreadCpuTime
            tick()
            cpuNanoseconds += threads.currentThreadCpuTime - cpuBefore
            time += TICK
        }

    /** Sets [bytes] and [cpuNanoseconds] to zero. */
    fun reset() {
        bytes = 0
        cpuNanoseconds = 0
    }

    private fun request(organisation: OrganisationId) =
        enforcer.tryAcquire(limits.getValue(organisation), organisation, null, TOKENS)

    private fun tick() {
        aggregator.expire()
        enforcer.update(fleetSize.fallbackShare) { limits.getValue(it) }
        enforcer.reports(VMS) { vmIds[it.hashCode().mod(VMS)] }.values.forEach { entries ->
            val report = transmit(PeerMessage.LimitReport(entries)) as PeerMessage.LimitReport
            val grants = aggregator.report(vmIds.first(), report.entries, fleetSize)
            if (grants.isNotEmpty()) {
                enforcer.granted(
                    (transmit(PeerMessage.LimitShare(grants)) as PeerMessage.LimitShare).entries,
                )
            }
        }
    }

    private fun transmit(message: PeerMessage): PeerMessage {
        val content = PeerCodec.encode(PeerEnvelope(vmIds.last(), Incarnation(INCARNATION), message))
        bytes += content.size + LENGTH_PREFIX_BYTES
        return checkNotNull(PeerCodec.decode(content).getOrNull()).message
    }

    private fun limit(subject: LimitSubject): Limit {
        val nearLimit =
            subject.organisation.value
                .substringAfter('-')
                .toInt() % ORGANISATIONS_PER_NEAR_LIMIT == 0
        val demand = VMS * REQUESTS_PER_SECOND / organisations * SECONDS_PER_MINUTE
        // Only one VM reports to the aggregator, so its own demand is the limit of an organisation near its limit.
        val requests = if (nearLimit) demand / VMS else demand * LIMIT_HEADROOM_FACTOR
        return Limit(subject.organisation, requestsPerMinute = requests.toLong() + 1, tokensPerMinute = null)
    }

    companion object {
        const val VMS = 410
        private const val REQUESTS_PER_SECOND = 19_000.0 / VMS
        private const val ORGANISATIONS_PER_NEAR_LIMIT = 65
        private const val LIMIT_HEADROOM_FACTOR = 10
        private const val TOKENS = 1_000L
        private const val SECONDS_PER_MINUTE = 60
        private const val LENGTH_PREFIX_BYTES = 4
        private const val INCARNATION = 1_796_360_000_000L
        private val TICK = 250.milliseconds
    }
}
