package io.tarragonport.standin.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.OrderId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.ServerOrder
import io.tarragonport.api.platform.ServerOrderKind
import io.tarragonport.api.platform.StoredObject
import io.tarragonport.api.platform.UsageReport
import io.tarragonport.platform.HttpBackendServerInterface
import io.tarragonport.platform.HttpObjectStore
import io.tarragonport.platform.HttpUsageReportInterface
import io.tarragonport.platform.HttpWeightStore
import io.tarragonport.platform.PlatformHttp
import io.tarragonport.platform.PlatformTimeouts
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The HTTP clients of the platform must map each response of the stand-in to the result defined by their interface. */
@Timeout(60)
class PlatformClientTest {
    private val domain = FailureDomainId("a")
    private val standIn =
        PlatformStandIn(InventoryFile(spares = listOf(SpareServer("http://127.0.0.1:1", domain)), startDelayMs = 0))
    private val port = standIn.start()
    private val http = PlatformHttp("http://127.0.0.1:$port", PlatformTimeouts(call = 10.seconds))
    private val store = HttpObjectStore(http)
    private val backend = HttpBackendServerInterface(http)

    @AfterEach
    fun stop() {
        http.close()
        standIn.close()
    }

    /** Guards against lost updates: a write whose condition fails must neither take effect nor report success. */
    @Test
    fun `conditional writes take effect only if the condition holds`() =
        runBlocking<Unit> {
            val first = ObjectVersion(1)
            val second = ObjectVersion(2)
            val large = "x".repeat(ObjectStandIn.VALUE_LIMIT_BYTES + 1)
            assertEquals(first.right(), store.put("a/b", "1", PutCondition.Absent))
            assertEquals(PlatformError.Conflict(first).left(), store.put("a/b", "2", PutCondition.Absent))
            assertEquals(second.right(), store.put("a/b", "2", PutCondition.Version(first)))
            assertEquals(PlatformError.Conflict(second).left(), store.put("a/b", "3", PutCondition.Version(first)))
            assertEquals(PlatformError.Conflict(null).left(), store.put("c", "3", PutCondition.Version(first)))
            assertEquals(413, rejectedStatus(store.put("a/b", large, PutCondition.Version(second))))
            assertEquals(StoredObject("a/b", second, "2").right(), store.get("a/b"))
            assertEquals(PlatformError.Conflict(second).left(), store.delete("a/b", first))
            assertEquals(Unit.right(), store.delete("a/b", second))
            assertEquals(PlatformError.Conflict(null).left(), store.delete("a/b", second))
            assertEquals(null.right(), store.get("a/b"))
        }

    /** Guards against changes that a watch misses, including deletes. */
    @Test
    fun `list and watch return all changes`() =
        runBlocking<Unit> {
            store.put("k/1", "one", PutCondition.Absent)
            store.put("other", "x", PutCondition.Absent)
            val listing = store.list("k/", withValues = true).getOrNull()!!
            assertEquals(listOf("one"), listing.objects.map { it.value })
            assertEquals(
                listOf(null),
                store
                    .list("k/", withValues = false)
                    .getOrNull()!!
                    .objects
                    .map { it.value },
            )
            val none = store.watch("k/", listing.revision, 10.milliseconds).getOrNull()!!
            assertEquals(emptyList(), none.objects)
            val waiting = async { store.watch("k/", listing.revision, 5.seconds) }
            store.delete("k/1", ObjectVersion(1))
            val change = waiting.await().getOrNull()!!
            assertEquals(listOf(true), change.objects.map { it.deleted })
            assertEquals(ObjectVersion(3), change.revision)
        }

    /** Guards against a write with unknown outcome that is reported as failed or as successful. */
    @Test
    fun `calls without a response fail as unavailable`() =
        runBlocking<Unit> {
            val faults =
                mapOf(
                    "unavailable" to Faults(unavailable = true),
                    "lost" to Faults(loseAnswerShare = 1.0),
                )
            for ((name, fault) in faults) {
                standIn.faults[PlatformInterface.OBJECTS] = fault
                assertIs<PlatformError.Unavailable>(store.put(name, "1", PutCondition.Absent).leftOrNull(), name)
            }
            standIn.faults[PlatformInterface.OBJECTS] = Faults(delayMs = 300)
            PlatformHttp("http://127.0.0.1:$port", PlatformTimeouts(call = 100.milliseconds)).use { shortTimeoutHttp ->
                val result = HttpObjectStore(shortTimeoutHttp).put("slow", "1", PutCondition.Absent)
                assertIs<PlatformError.Unavailable>(result.leftOrNull(), "slow")
            }
            standIn.faults[PlatformInterface.OBJECTS] = Faults()
            assertEquals("1", store.get("lost").getOrNull()?.value, "the write takes effect if its response is lost")
            assertEquals(null.right(), store.get("unavailable"))
            standIn.awaitObject("slow")
        }

    /** Guards against orders of a previous leaseholder and against repeated orders that take effect twice. */
    @Test
    fun `orders are fenced and deduplicated`() =
        runBlocking<Unit> {
            val order =
                ServerOrder(
                    OrderId("1"),
                    FencingToken(2),
                    VmId("v1"),
                    ServerOrderKind.START,
                    PoolId("p"),
                )
            assertEquals(Unit.right(), backend.order(domain, order))
            assertEquals(Unit.right(), backend.order(domain, order))
            assertEquals(1, backend.servers(domain).getOrNull()?.size)
            assertEquals(422, rejectedStatus(backend.order(domain, order.copy(orderId = OrderId("2")))))
            val stale = order.copy(orderId = OrderId("3"), fencingToken = FencingToken(1))
            assertIs<PlatformError.Refused>(backend.order(domain, stale).leftOrNull())
            assertEquals(listOf(202, 202, 422, 409), standIn.backend.received().map { it.status })
        }

    /** Guards against sending an order that is no longer permitted by the time its connection is open. */
    @Test
    fun `an order that is not permitted is not sent`() =
        runBlocking<Unit> {
            val order =
                ServerOrder(
                    OrderId("1"),
                    FencingToken(2),
                    VmId("v1"),
                    ServerOrderKind.START,
                    PoolId("p"),
                )
            val result = backend.order(domain, order) { false }
            assertIs<PlatformError.Refused>(result.leftOrNull())
            assertEquals(emptyList(), standIn.backend.received())
        }

    /** Guards against a lease that expires between the permission check and sending, while the connection is opened. */
    @Test
    fun `permission is not checked before the connection is open`() =
        runBlocking<Unit> {
            val order =
                ServerOrder(
                    OrderId("1"),
                    FencingToken(2),
                    VmId("v1"),
                    ServerOrderKind.START,
                    PoolId("p"),
                )
            standIn.close()
            var permissionChecked = false
            val result = backend.order(domain, order) { true.also { permissionChecked = true } }
            assertIs<PlatformError.Unavailable>(result.leftOrNull())
            assertEquals(false, permissionChecked)
        }

    /** Guards against billing a window twice: a new leaseholder may repeat its figures, other figures are rejected. */
    @Test
    fun `usage figures cannot change`() =
        runBlocking<Unit> {
            val usage = HttpUsageReportInterface(http)
            val report = UsageReport(OrganisationId("o"), UsageWindow(7), 1, 2, 3, 0, 0, VmId("v1"), FencingToken(1))
            assertEquals(Unit.right(), usage.report(report))
            assertEquals(
                Unit.right(),
                usage.report(report.copy(reporter = VmId("v2"), fencingToken = FencingToken(2))),
            )
            assertIs<PlatformError.Refused>(usage.report(report.copy(generatedTokens = 9)).leftOrNull())
            assertEquals(listOf(201, 200, 409), standIn.usage.received().map { it.status })
        }

    /** Guards against accepting weight transfers above the rate limit. */
    @Test
    fun `weight transfers above the rate limit are rejected`() =
        runBlocking<Unit> {
            val weights = HttpWeightStore(http)
            assertEquals(Unit.right(), weights.transfer("m", BackendServerId("s"), FencingToken(1)))
            assertEquals(429, rejectedStatus(weights.transfer("m", BackendServerId("s"), FencingToken(1))))
        }

    private suspend fun PlatformStandIn.awaitObject(name: String) {
        while (objects.get(name) == null) {
            delay(5.milliseconds)
        }
    }

    private fun rejectedStatus(result: Either<PlatformError, Any?>): Int? =
        (result.leftOrNull() as? PlatformError.Rejected)?.status
}
