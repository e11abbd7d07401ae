package io.tarragonport.core.admission

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.BackendServerId
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds

/** Builders of requests and servers for tests of admission and routing. */
internal object Requests {
    val pool = PoolId("quoting")
    val chat = requestClass("chat", tier = 1, deadlineMs = 10_000, firstTokenMs = 1_300)
    val takeoff = requestClass("takeoff", tier = 3, deadlineMs = 300_000, longOutput = true)
    val review = requestClass("review", tier = 4, deadlineMs = 600_000, longOutput = true)

    fun requestClass(
        id: String,
        tier: Int,
        deadlineMs: Long,
        firstTokenMs: Long? = null,
        longOutput: Boolean = false,
        resumable: Boolean = true,
    ) = RequestClass(
        RequestClassId(id),
        Tier(tier),
        firstTokenMs = firstTokenMs,
        deadlineMs = deadlineMs,
        longOutput = longOutput,
        resumable = resumable,
    )

    fun request(
        id: String,
        now: ComparableTimeMark,
        requestClass: RequestClass = chat,
        organisation: String = "o1",
        promptTokens: Int = 100,
        deadlineMs: Long = requestClass.deadlineMs,
        failedServers: Set<BackendServerId> = emptySet(),
        weight: Int = 1,
        resumedTokens: Int = 0,
        prefixBlocks: List<String> = emptyList(),
        fingerprint: String = "",
    ) = PendingRequest(
        RequestId(id),
        OrganisationId(organisation),
        weight,
        requestClass,
        pool,
        now,
        now + deadlineMs.milliseconds,
        promptTokens,
        maximumOutputTokens = null,
        failedServers = failedServers,
        resumedTokens = resumedTokens,
        prefixBlocks = prefixBlocks,
        fingerprint = fingerprint,
    )

    fun server(
        id: String,
        slots: Int = 1,
        leaving: Boolean = false,
    ) = ServerStatus(
        BackendServerId(id),
        "http://10.0.0.1:8000",
        pool,
        FailureDomainId("d1"),
        cheap = false,
        slots = slots,
        leaving = leaving,
    )

    fun servers(
        count: Int,
        slots: Int = 1,
    ) = (1..count).map { server("s$it", slots) }

    fun vms(count: Int) = (1..count).map { VmId("vm-$it") }
}
