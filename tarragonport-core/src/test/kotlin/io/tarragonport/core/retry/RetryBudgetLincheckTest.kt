package io.tarragonport.core.retry

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test
import kotlin.time.TestTimeSource

/** Guards against two threads that take the same retry from the budget. */
class RetryBudgetLincheckTest {
    private val budget = RetryBudget(TestTimeSource())

    @Operation
    fun requestArrived() = budget.requestArrived()

    @Operation
    fun tryTake() = budget.tryTake()

    @Test
    fun `is linearizable`() =
        ModelCheckingOptions()
            .iterations(10)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .check(this::class)
}
