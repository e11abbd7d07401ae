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
 * Creates keys, opens streams with them, withdraws them and sends probe requests to every VM throughout.
 *
 * A created key must work on each undisturbed VM after [PROPAGATION_LIMIT]. A withdrawn key must be rejected by every VM
 * from [PROPAGATION_LIMIT] after the withdrawal on.
 */
class KeyProbe(
    private val fleet: FaultFleet,
    private val caller: FaultCaller,
    private val operator: OperatorClient,
    seed: Long,
) {
    private val random = Random(seed)
    private val withdrawn = ConcurrentLinkedQueue<WithdrawnKey>()

    val created = InvariantCount("configuration: created keys in force on every undisturbed VM after 15 s")
    val withdrawnRefused = InvariantCount("withdrawal: withdrawn keys refused on every VM after 15 s")
    val withdrawnStreams = InvariantCount("withdrawal: streams of withdrawn keys ended after 15 s")
    val neverReaccepted = InvariantCount("configuration: no VM goes back to an older version")

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

    /** Sends a probe with each of the last withdrawn keys to every VM. */
    suspend fun recheckWithdrawnKeys() {
        withdrawn.toList().takeLast(RECHECKED_KEYS).forEach { withdrawnKey ->
            fleet.vms.forEach { vm ->
                val record = sendProbe(vm, withdrawnKey.key)
                if (record.status > 0) {
                    neverReaccepted.observe(record.status != HTTP_OK) {
                        "${vm.id} accepted a key withdrawn earlier: $record"
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
        val organisation = FaultDocument.ORGANISATIONS[random.nextInt(FaultDocument.ORGANISATIONS.size)]
        val record = FaultDocument.record("probe-$number", key, organisation)
        if (!operator.put(record)) {
            delay(RETRY_DELAY)
            return
        }
        checkCreated(key)
        val vm = fleet.vms[random.nextInt(fleet.vms.size)]
        val stream =
            scope.async {
                caller.chat(
                    "probe stream",
                    vm,
                    key,
                    FaultDocument.MODEL,
                    "probe-stream-$number",
                    STREAM_TOKENS,
                )
            }
        delay(STREAM_START_DELAY)
        if (!operator.put(record.copy(withdrawn = true))) {
            stream.cancel()
            return
        }
        val accepted = TimeSource.Monotonic.markNow()
        delay(PROPAGATION_LIMIT)
        withdrawn += WithdrawnKey(key)
        withdrawnStreams.observe(stream.isCompleted) {
            "a stream on ${vm.id} is still open ${accepted.elapsedNow()} after the withdrawal of its key"
        }
        stream.cancel()
        checkRefused(key)
    }

    private suspend fun checkCreated(key: String) {
        val accepted = TimeSource.Monotonic.markNow()
        coroutineScope {
            fleet.vms.map { vm -> async { vm to acceptedInTime(vm, key, accepted) } }.awaitAll()
        }.forEach { (vm, acceptedInTime) ->
            if (!vm.disturbedSince(accepted, ALL_DISTURBANCES) && vm.alive) {
                created.observe(acceptedInTime) {
                    "${vm.id} answers key_unknown ${accepted.elapsedNow()} after the creation of the key"
                }
            }
        }
    }

    private suspend fun acceptedInTime(
        vm: VmProcess,
        key: String,
        accepted: ComparableTimeMark,
    ): Boolean {
        while (accepted.elapsedNow() < PROPAGATION_LIMIT) {
            val record = sendProbe(vm, key)
            if (record.status > 0 && record.error != "key_unknown") return true
            delay(RETRY_DELAY)
        }
        return false
    }

    private suspend fun checkRefused(key: String) {
        fleet.vms.forEach { vm ->
            val record = sendProbe(vm, key)
            if (record.status > 0) {
                withdrawnRefused.observe(record.status != HTTP_OK) { "${vm.id} accepted a withdrawn key: $record" }
            }
        }
    }

    /** Sends a short request; it is rejected before execution if the key is not valid on [vm]. */
    private suspend fun sendProbe(
        vm: VmProcess,
        key: String,
    ): CallRecord =
        withTimeoutOrNull(PROBE_TIMEOUT) {
            caller.chat("probe", vm, key, FaultDocument.MODEL, "probe-${random.nextLong()}", tokens = 1)
        } ?: CallRecord(
            kind = "probe",
            marker = "",
            vm = vm.id,
            start = TimeSource.Monotonic.markNow(),
            end = TimeSource.Monotonic.markNow(),
            status = FaultCaller.NOT_CONNECTED,
            complete = false,
            correct = true,
            connectionLost = true,
            error = null,
            ran = null,
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
