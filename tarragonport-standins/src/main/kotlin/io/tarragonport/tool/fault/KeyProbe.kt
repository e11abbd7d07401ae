package io.tarragonport.tool.fault

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Repeatedly creates a key, opens a stream with it and withdraws it, and sends probe requests with it to every VM.
 *
 * A created key must work on each undisturbed VM after [PROPAGATION_LIMIT]. Every VM must reject a withdrawn key from
 * [PROPAGATION_LIMIT] after the withdrawal on.
 */
class KeyProbe(
    private val fleet: FaultRunFleet,
    private val client: FaultRunClient,
    private val operator: SimulatedOperator,
    seed: Long,
) {
    private val random = Random(seed)
    private val withdrawnKeys = ConcurrentLinkedQueue<WithdrawnKey>()

    val createdKeys =
        InvariantCount("configuration: created keys are valid on every undisturbed VM after $PROPAGATION_LIMIT")
    val rejectedKeys = InvariantCount("withdrawal: withdrawn keys are rejected by every VM after $PROPAGATION_LIMIT")
    val endedStreams = InvariantCount("withdrawal: streams of withdrawn keys have ended after $PROPAGATION_LIMIT")
    val neverReaccepted = InvariantCount("configuration: no VM returns to an older version")

    private class WithdrawnKey(
        val key: String,
    )

    suspend fun run(scope: CoroutineScope) {
        var number = 0
        while (true) {
            probe(scope, number++)
            recheckWithdrawnKeys()
        }
    }

    /** Sends a probe with each of the last [RECHECKED_KEYS] withdrawn keys to every VM. */
    suspend fun recheckWithdrawnKeys() {
        withdrawnKeys.toList().takeLast(RECHECKED_KEYS).forEach { withdrawnKey ->
            fleet.vms.forEach { vm ->
                val record = sendProbe(vm, withdrawnKey.key)
                if (record.status > 0) {
                    neverReaccepted.observe(record.status != HTTP_OK) {
                        "${vm.id} accepted a key that was withdrawn earlier: $record"
                    }
                }
            }
        }
    }

    private suspend fun probe(
        scope: CoroutineScope,
        number: Int,
    ) {
        val key = "tp_fault_${UUID.randomUUID()}"
        val organisation =
            FaultRunConfiguration.ORGANISATIONS[random.nextInt(FaultRunConfiguration.ORGANISATIONS.size)]
        val record = FaultRunConfiguration.record("probe-$number", key, organisation)
        if (!operator.put(record)) {
            delay(RETRY_DELAY)
            return
        }
        checkCreated(key)
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        val stream =
            scope.async {
                client.chat(
                    "probe stream",
                    vm,
                    key,
                    FaultRunConfiguration.MODEL,
                    "probe-stream-$number",
                    STREAM_TOKENS,
                )
            }
        delay(STREAM_START_DELAY)
        if (!operator.put(record.copy(withdrawn = true))) {
            stream.cancel()
            return
        }
        val withdrawnAt = TimeSource.Monotonic.markNow()
        delay(PROPAGATION_LIMIT)
        withdrawnKeys += WithdrawnKey(key)
        endedStreams.observe(stream.isCompleted) {
            "a stream on ${vm.id} is still open ${withdrawnAt.elapsedNow()} after the withdrawal of its key"
        }
        stream.cancel()
        checkRejected(key)
    }

    private suspend fun checkCreated(key: String) {
        val createdAt = TimeSource.Monotonic.markNow()
        coroutineScope {
            fleet.vms.map { vm -> async { vm to acceptedInTime(vm, key, createdAt) } }.awaitAll()
        }.forEach { (vm, acceptedInTime) ->
            if (!vm.disturbedSince(createdAt, ALL_DISTURBANCES) && vm.alive) {
                createdKeys.observe(acceptedInTime) {
                    "${vm.id} has not accepted the key ${createdAt.elapsedNow()} after its creation"
                }
            }
        }
    }

    private suspend fun acceptedInTime(
        vm: VmProcess,
        key: String,
        createdAt: ComparableTimeMark,
    ): Boolean {
        while (createdAt.elapsedNow() < PROPAGATION_LIMIT) {
            val record = sendProbe(vm, key)
            if (record.status > 0 && record.error != "key_unknown") return true
            delay(RETRY_DELAY)
        }
        return false
    }

    private suspend fun checkRejected(key: String) {
        fleet.vms.forEach { vm ->
            val record = sendProbe(vm, key)
            if (record.status > 0) {
                rejectedKeys.observe(record.status != HTTP_OK) { "${vm.id} accepted a withdrawn key: $record" }
            }
        }
    }

    /** Sends a short request; it is rejected before execution if the key is not valid on [vm]. */
    private suspend fun sendProbe(
        vm: VmProcess,
        key: String,
    ): CallRecord =
        withTimeoutOrNull(PROBE_TIMEOUT) {
            client.chat("probe", vm, key, FaultRunConfiguration.MODEL, "probe-${random.nextLong()}", tokens = 1)
        } ?: CallRecord(
            kind = "probe",
            marker = "",
            vm = vm.id,
            start = TimeSource.Monotonic.markNow(),
            end = TimeSource.Monotonic.markNow(),
            status = FaultRunClient.NOT_CONNECTED,
            complete = false,
            correct = true,
            connectionLost = true,
            error = null,
            executionStatus = null,
        )

    private companion object {
        /** An accepted configuration must be active on every VM within 15 s. */
        val PROPAGATION_LIMIT = 15.seconds
        val RETRY_DELAY = 500.milliseconds
        val STREAM_START_DELAY = 700.milliseconds
        val PROBE_TIMEOUT = 5.seconds
        const val STREAM_TOKENS = 1_500
        const val HTTP_OK = 200
        const val RECHECKED_KEYS = 5
        val ALL_DISTURBANCES =
            setOf(Disturbance.KILLED, Disturbance.FROZEN, Disturbance.CUT, Disturbance.RESTARTED)
    }
}
