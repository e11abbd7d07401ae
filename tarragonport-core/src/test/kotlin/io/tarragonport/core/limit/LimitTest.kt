package io.tarragonport.core.limit

import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.LimitDemand
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against exceeding limits by bursts, refunds, keys or a new aggregator. */
class LimitTest {
    private val time = TestTimeSource()
    private val organisation = OrganisationId("alder")

    private fun admitted(
        enforcer: LimitEnforcer,
        limits: List<Limit>,
        key: KeyId? = null,
    ) = (1..1_000).count { enforcer.tryAcquire(limits, organisation, key, 10) == null }

    @Test
    fun `a burst admits one second of the limit and large requests delay later ones`() {
        listOf(
            Limit(organisation, requestsPerMinute = 60) to 1,
            Limit(organisation, requestsPerMinute = 600) to 10,
            Limit(organisation, tokensPerMinute = 6_000) to 10,
            Limit(organisation, tokensPerMinute = 60) to 1,
            Limit(organisation, requestsPerMinute = 0) to 1,
        ).forEach { (limit, expected) ->
            val enforcer = LimitEnforcer(time)
            enforcer.tryAcquire(listOf(limit), organisation, null, 0)
            enforcer.charge(organisation, null, -1, 0)
            time += 2.seconds
            assertEquals(expected, admitted(enforcer, listOf(limit)), "$limit")
        }
    }

    @Test
    fun `the limit of a key applies to that key only and the limit of the organisation to all keys`() {
        val enforcer = LimitEnforcer(time)
        val small = Limit(organisation, KeyId("k1"), requestsPerMinute = 60)
        val limits = listOf(Limit(organisation, requestsPerMinute = 600), small)
        admitted(enforcer, limits, KeyId("k2"))
        time += 2.seconds
        assertEquals(1, admitted(enforcer, limits, KeyId("k1")))
        assertEquals(9, admitted(enforcer, limits, KeyId("k2")))
        assertNotNull(enforcer.tryAcquire(limits, organisation, KeyId("k1"), 1))
        enforcer.charge(organisation, KeyId("k1"), -1, -1)
        assertNull(enforcer.tryAcquire(limits, organisation, KeyId("k1"), 1))
    }

    @Test
    fun `shares follow demand and a new aggregator grants nothing during its warm-up`() {
        val aggregator = LimitAggregator(time)
        val vms = List(4) { VmId("vm-$it") }
        val fleet = FleetSize(vms.toSet(), 0)
        val demand = listOf(700, 200, 100, 0)
        val round = {
            vms.mapIndexed { index, vm ->
                aggregator.report(vm, listOf(LimitDemand(organisation, null, demand[index])), fleet)
            }
        }
        assertEquals(0, round().flatten().size)
        time += 1.seconds
        assertEquals(0, round().flatten().size)
        time += 1.seconds
        val shares = round().map { it.single().requestShare }
        assertEquals(listOf(691_000, 201_000, 103_000, 5_000), shares)
    }

    /** Guards against shares that add up to far more or less than the limit when one VM is dead or partitioned. */
    @Test
    fun `one lost VM of seven causes an error of about five percent whether it is dead or partitioned`() {
        val vms = List(7) { VmId("vm-$it") }.toSet()
        val remainingFleet = FleetSize(vms - VmId("vm-0"), 1)
        val partitioned = FleetSize(setOf(VmId("vm-0")), 6)
        assertEquals(0.95, 1 - remainingFleet.reserve, 1e-9)
        assertEquals(1.05, 1 - remainingFleet.reserve + partitioned.fallbackShare, 1e-9)
        assertEquals(partitioned.fallbackShare, 1 - partitioned.reserve, 1e-9)
        assertEquals(1.0 / 7, FleetSize(vms, 0).fallbackShare, 1e-9)
    }

    @Test
    fun `a share lasts three seconds without the aggregator and then decays to the equal share`() {
        listOf(0.seconds to 0.8, 3.seconds to 0.8, 5_500.milliseconds to 0.5, 8.seconds to 0.2, 60.seconds to 0.2)
            .forEach { (silence, expected) ->
                assertEquals(expected, ShareDecay.share(0.8, 0.2, silence), 1e-9, "$silence")
            }
    }
}
