package io.tarragonport.core.gateway.registry

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against removing live servers whose entries expired during a store outage before they can register again. */
class ServerRegistryTest {
    private val clock = TestTimeSource()
    private val registry = ServerRegistry(clock)

    private fun ids() = registry.servers.map { it.id.value }.sorted()

    @Test
    fun `entries missing from a listing are removed at once without an outage`() {
        registry.replace(listOf(Samples.server("s1"), Samples.server("s2")), afterOutage = false)
        registry.replace(listOf(Samples.server("s2")), afterOutage = false)
        assertEquals(listOf("s2"), ids())
    }

    @Test
    fun `entries that expired during an outage are kept for the grace period`() {
        registry.replace(listOf(Samples.server("s1"), Samples.server("s2")), afterOutage = false)
        registry.storeRecovered()
        registry.replace(listOf(Samples.server("s2")), afterOutage = true)
        clock += 1_900.milliseconds
        assertEquals(emptyList(), registry.expire())
        assertEquals(listOf("s1", "s2"), ids())
        clock += 100.milliseconds
        assertEquals(listOf(BackendServerId("s1")), registry.expire())
        assertEquals(listOf("s2"), ids())
    }

    @Test
    fun `an entry that returns within the grace period stays`() {
        registry.replace(listOf(Samples.server("s1")), afterOutage = false)
        registry.storeRecovered()
        registry.replace(emptyList(), afterOutage = true)
        clock += 1.seconds
        registry.put(Samples.server("s1"))
        clock += 5.seconds
        assertEquals(emptyList(), registry.expire())
        assertEquals(listOf("s1"), ids())
    }

    @Test
    fun `a removal within the grace period is delayed and a later one is immediate`() {
        registry.replace(listOf(Samples.server("s1"), Samples.server("s2")), afterOutage = false)
        registry.storeRecovered()
        clock += 500.milliseconds
        registry.remove(BackendServerId("s1"))
        assertEquals(listOf("s1", "s2"), ids())
        clock += 1_500.milliseconds
        registry.expire()
        assertEquals(listOf("s2"), ids())
        registry.remove(BackendServerId("s2"))
        assertEquals(emptyList(), ids())
    }
}
