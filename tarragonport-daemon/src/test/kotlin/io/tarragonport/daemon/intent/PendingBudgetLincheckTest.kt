package io.tarragonport.daemon.intent

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against concurrent reservations that together exceed the memory limit. */
class PendingBudgetLincheckTest {
    private val budget = PendingBudget(limit = 20).apply { reserve(10) }

    @Operation
    fun reserve(): Boolean = budget.reserve(6)

    @Operation
    fun release() = budget.release(1)

    @Operation
    fun usedBytes(): Long = budget.usedBytes

    @Test
    fun `the limit holds in all interleavings`() =
        ModelCheckingOptions()
            .iterations(40)
            .invocationsPerIteration(300)
            .threads(2)
            .actorsPerThread(3)
            .check(this::class)
}
