package io.tarragonport.daemon.dispatch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.CacheEvent
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.ServerStatus
import io.tarragonport.core.admission.TieredDispatch
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.apache.commons.math3.random.Well19937c
import java.lang.reflect.Proxy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against load polls above the budget, and against a server that remains unused after it responds again. */
class LoadPollerTest {
    private val polled = mutableListOf<String>()
    private var refusing = emptySet<String>()

    /** A client that responds to requests for load and cache events. */
    private val client =
        Proxy.newProxyInstance(
            javaClass.classLoader,
            arrayOf(BackendServerClient::class.java),
        ) { _, method, arguments ->
            val address = arguments[0] as String
            when {
                method.name.startsWith("cacheEvents") -> emptyList<CacheEvent>().right()
                address in refusing -> BackendFailure.NotSent("refused").left()
                else -> LoadReport(BackendServerId("e"), 0, 0, 0).right()
            }.also { if (method.name.startsWith("load")) polled += address } as Either<*, *>
        } as BackendServerClient

    private fun engines(count: Int) =
        (1..count).map {
            ServerStatus(BackendServerId("s$it"), "a$it", PoolId("p"), FailureDomainId("d"), cheap = false, slots = 1)
        }

    @Test
    fun `polls stay within the budget and an unreachable server is polled again within a second`() =
        runTest {
            for ((size, perSecond) in listOf(20 to 20, 64 to 8)) {
                val policy = TieredDispatch(VmId("vm-1"), testTimeSource, Well19937c(1))
                val poller =
                    LoadPoller(client, Dispatcher(policy, TracingDecisionLog(DecisionTraces()), testTimeSource))
                polled.clear()
                refusing = engines(size).take(4).map { it.address }.toSet()
                val job = launch { poller.run { engines(size) } }
                delay(20.seconds - 1.milliseconds)
                assertEquals(perSecond * 20, polled.size, "polls of $size servers in 20 s")
                assertEquals(4, poller.unreachable.value.size)
                refusing = emptySet()
                delay(1.seconds)
                assertEquals(0, poller.unreachable.value.size)
                job.cancel()
            }
        }
}
