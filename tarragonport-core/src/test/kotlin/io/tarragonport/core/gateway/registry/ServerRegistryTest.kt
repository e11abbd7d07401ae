package io.tarragonport.core.gateway.registry

import io.tarragonport.api.id.BackendServerId
import io.tarragonport.core.gateway.Samples
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Servers whose entries lapse while the store is away must stay in use until they have had the time to come back. */
class ServerRegistryTest {
    private val clock = TestTimeSource()
    private val registry = ServerRegistry(clock)

    private fun ids() = registry.servers.map { it.id.value }.sorted()

    @Test
    fun `what a listing lacks is gone at once while the store is well`() {
        registry.replace(listOf(Samples.server("s1"), Samples.server("s2")), afterOutage = false)
        registry.replace(listOf(Samples.server("s2")), afterOutage = false)
        assertEquals(listOf("s2"), ids())
    }

    @Test
    fun `what lapsed during an outage is kept until its return is overdue`() {
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
    fun `an entry that comes back in time stays`() {
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
    fun `a removal soon after an outage waits for the return and a later one does not`() {
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
