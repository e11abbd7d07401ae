package io.tarragonport.daemon.dispatch

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.api.id.RequestId
import io.tarragonport.core.admission.PendingRequest
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.TestTimeSource

/** Guards against traces that grow without bound or lose entries under concurrent writes. */
@Param(name = "id", gen = IntGen::class, conf = "1:3")
class DecisionTracesLincheckTest {
    private val traces = DecisionTraces(capacity = 2)

    @Operation
    fun add(
        @Param(name = "id") id: Int,
    ) = traces.add(request(id), TraceEntry(0, "event"))

    @Operation
    fun addAlias(
        @Param(name = "id") id: Int,
    ) = traces.addAlias(RequestId("$id"), "chosen")

    @Operation
    fun find(): String? = traces.trace("chosen")?.run { "$requestId ${entries.size}" }

    @Test
    fun `is linearizable`() =
        ModelCheckingOptions()
            .iterations(10)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .check(this::class)

    @Test
    fun `the oldest request is evicted`() {
        (1..3).forEach { add(it) }
        addAlias(3)
        assertNull(traces.trace("1"))
        assertEquals("3 1", find())
    }

    companion object {
        private val arrival = TestTimeSource().markNow()
        private val chat = RequestClass(RequestClassId("chat"), Tier(1), deadlineMs = 1)

        private fun request(id: Int) =
            PendingRequest(
                RequestId("$id"),
                OrganisationId("o"),
                1,
                chat,
                PoolId("p"),
                arrival,
                arrival,
                1,
                null,
            )
    }
}
