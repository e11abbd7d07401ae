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

/** Guards against limits that leak through bursts, refunds, keys or a new aggregator. */
class LimitTest {
    private val time = TestTimeSource()
    private val organisation = OrganisationId("alder")

    private fun admitted(
        enforcer: LimitEnforcer,
        limits: List<Limit>,
        key: KeyId? = null,
    ) = (1..1_000).count { enforcer.tryAcquire(limits, organisation, key, 10) == null }

    @Test
    fun `a burst admits a second of the limit and large requests leave a debt`() {
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
    fun `a key's limit holds for that key only and the organisation's for all`() {
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
    fun `shares follow demand and a new aggregator grants nothing before it heard all`() {
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

    /** Guards against shares that add up to far more or less than the limit when one VM is dead or cut off. */
    @Test
    fun `one lost VM of seven costs about five percent whether it is dead or cut off`() {
        val vms = List(7) { VmId("vm-$it") }.toSet()
        val others = FleetSize(vms - VmId("vm-0"), 1)
        val alone = FleetSize(setOf(VmId("vm-0")), 6)
        assertEquals(0.95, 1 - others.reserve, 1e-9)
        assertEquals(1.05, 1 - others.reserve + alone.fallbackShare, 1e-9)
        assertEquals(alone.fallbackShare, 1 - alone.reserve, 1e-9)
        assertEquals(1.0 / 7, FleetSize(vms, 0).fallbackShare, 1e-9)
    }

    @Test
    fun `a silent aggregator's share lasts three seconds and falls to an equal one`() {
        listOf(0.seconds to 0.8, 3.seconds to 0.8, 5_500.milliseconds to 0.5, 8.seconds to 0.2, 60.seconds to 0.2)
            .forEach { (silence, expected) ->
                assertEquals(expected, ShareDecay.share(0.8, 0.2, silence), 1e-9, "$silence")
            }
    }
}
