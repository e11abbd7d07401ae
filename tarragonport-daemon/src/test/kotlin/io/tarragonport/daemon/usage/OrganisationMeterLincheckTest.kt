package io.tarragonport.daemon.usage

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.core.usage.UsageTotals
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Test
import kotlin.math.abs
import kotlin.time.Clock
import kotlin.time.Instant

/** Guards against lost updates and against reads of a partially updated count. */
class OrganisationMeterLincheckTest {
    private val organisation = OrganisationId("org")
    private val meter = OrganisationMeter(FixedClock)

    @Operation
    fun add(tokens: Int) = meter.add(organisation, 1, abs(tokens.toLong()), 1)

    @Operation
    fun total(): UsageTotals? = meter.snapshot()[organisation]?.total

    @Operation
    fun recent(): List<UsageTotals>? = meter.snapshot()[organisation]?.recent?.map { it.amount }

    @Test
    fun `all interleavings are linearizable`() =
        ModelCheckingOptions()
            .iterations(12)
            .invocationsPerIteration(60)
            .threads(2)
            .actorsPerThread(2)
            .check(this::class)

    @Test
    fun `threads under load are linearizable`() =
        StressOptions()
            .iterations(10)
            .invocationsPerIteration(300)
            .threads(3)
            .actorsPerThread(3)
            .check(this::class)

    private object FixedClock : Clock {
        override fun now() = Instant.fromEpochSeconds(600)
    }
}
