package io.tarragonport.tool.fault

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** The callers of a fault run; each sends one request after the other until [stopping] is set. */
class FaultRunTraffic(
    private val fleet: FaultRunFleet,
    private val balancer: FaultRunBalancer,
    private val client: FaultRunClient,
    private val seed: Long,
) {
    private val markerCounter = AtomicInteger()

    /** The outcomes of all requests. */
    val records = ConcurrentLinkedQueue<CallRecord>()

    /** Markers of the requests that crash the engine which executes them. */
    val crashingMarkers = ConcurrentLinkedQueue<String>()

    @Volatile
    var stopping = false

    /** Starts all callers. */
    fun start(scope: CoroutineScope): List<Job> =
        List(CHAT_CALLERS) { scope.launch { chats(Random(seed + it)) } } +
            List(SHORT_DEADLINE_CALLERS) {
                scope.launch { shortDeadlineChats(Random(seed + SHORT_DEADLINE_SEED + it)) }
            } +
            List(REVIEW_CALLERS) { scope.launch { reviews(Random(seed + REVIEW_SEED + it)) } } +
            List(BATCH_CALLERS) { scope.launch { batches(Random(seed + BATCH_SEED + it)) } } +
            List(DEPOSIT_CALLERS) { scope.launch { deposits(Random(seed + DEPOSIT_SEED + it)) } } +
            scope.launch { crashingRequests(Random(seed + CRASHING_SEED)) } +
            scope.launch { misplacedKeys(Random(seed + MISPLACED_KEY_SEED)) }

    private suspend fun chats(random: Random) =
        repeatUntilStopped(random) {
            chat(
                "quick chat",
                FaultRunConfiguration.MODEL,
                marker(),
                random.nextInt(MINIMUM_TOKENS, MAXIMUM_CHAT_TOKENS),
                random,
            )
        }

    /** Chats whose deadline often cannot be met, so that some fail before and some after execution started. */
    private suspend fun shortDeadlineChats(random: Random) =
        repeatUntilStopped(random) {
            val deadline = random.nextLong(MINIMUM_DEADLINE_MS, MAXIMUM_DEADLINE_MS)
            records +=
                client.chat(
                    kind = "short-deadline chat",
                    vm = balancer.nextReadyVm(),
                    key = key(random),
                    model = FaultRunConfiguration.MODEL,
                    marker = marker(),
                    tokens = random.nextInt(MINIMUM_TOKENS, MAXIMUM_CHAT_TOKENS),
                    deadlineMs = deadline,
                )
        }

    private suspend fun reviews(random: Random) =
        repeatUntilStopped(random) {
            val tokens = random.nextInt(MINIMUM_REVIEW_TOKENS, MAXIMUM_REVIEW_TOKENS)
            chat("drawing review", FaultRunConfiguration.MODEL, marker(), tokens, random, "drawing-review")
        }

    private suspend fun batches(random: Random) =
        repeatUntilStopped(random) {
            chat(
                "batch",
                FaultRunConfiguration.ELASTIC_MODEL,
                marker(),
                random.nextInt(MINIMUM_TOKENS, MAXIMUM_CHAT_TOKENS),
                random,
                "batch",
            )
        }

    /** Each deposit is sent one to three times with one idempotency key, either one after the other or concurrently. */
    private suspend fun deposits(random: Random) =
        repeatUntilStopped(random) {
            val marker = marker()
            val idempotencyKey = "key-$marker"
            val copies = random.nextInt(1, MAXIMUM_COPIES + 1)
            val organisationKey = key(random)
            if (random.nextBoolean()) {
                coroutineScope {
                    repeat(copies) { launch { deposit(organisationKey, marker, idempotencyKey) } }
                }
            } else {
                repeat(copies) { deposit(organisationKey, marker, idempotencyKey) }
            }
        }

    private suspend fun misplacedKeys(random: Random) =
        repeatUntilStopped(random) {
            delay(MISPLACED_KEY_INTERVAL_MS)
            records += client.sendMisplacedKeys(balancer.nextReadyVm(), key(random), marker())
        }

    private suspend fun crashingRequests(random: Random) {
        while (!stopping) {
            delay(random.nextLong(CRASHING_REQUEST_INTERVAL_MS, 2 * CRASHING_REQUEST_INTERVAL_MS))
            val marker = "${FaultRunFleet.CRASH_MARKER} ${marker()}"
            crashingMarkers += marker
            val organisationKey = key(random)
            repeat(CRASHING_REQUEST_REPEATS) {
                if (!stopping) {
                    records +=
                        client.chat(
                            "poison",
                            balancer.nextReadyVm(),
                            organisationKey,
                            FaultRunConfiguration.MODEL,
                            marker,
                            MINIMUM_TOKENS,
                        )
                }
                delay(CRASHING_REQUEST_REPEAT_DELAY_MS)
            }
        }
    }

    private suspend fun chat(
        kind: String,
        model: String,
        marker: String,
        tokens: Int,
        random: Random,
        requestClass: String? = null,
    ) {
        records += client.chat(kind, balancer.nextReadyVm(), key(random), model, marker, tokens, requestClass)
    }

    private suspend fun deposit(
        key: String,
        marker: String,
        idempotencyKey: String,
    ) {
        records += client.deposit(balancer.nextReadyVm(), key, marker, idempotencyKey)
    }

    private suspend fun repeatUntilStopped(
        random: Random,
        request: suspend () -> Unit,
    ) {
        while (!stopping) {
            request()
            delay(random.nextLong(MAXIMUM_DELAY_MS))
        }
    }

    private fun marker(): String = "m-$seed-${markerCounter.incrementAndGet()}"

    private fun key(random: Random): String = fleet.keys.values.elementAt(random.nextInt(fleet.keys.size))

    private companion object {
        const val CHAT_CALLERS = 30
        const val SHORT_DEADLINE_CALLERS = 3
        const val REVIEW_CALLERS = 6
        const val BATCH_CALLERS = 6
        const val DEPOSIT_CALLERS = 4
        const val SHORT_DEADLINE_SEED = 500
        const val REVIEW_SEED = 1_000
        const val BATCH_SEED = 2_000
        const val DEPOSIT_SEED = 3_000
        const val CRASHING_SEED = 4_000
        const val MISPLACED_KEY_SEED = 5_000
        const val MISPLACED_KEY_INTERVAL_MS = 1_000L
        const val MINIMUM_DEADLINE_MS = 20L
        const val MAXIMUM_DEADLINE_MS = 1_500L
        const val MINIMUM_TOKENS = 10
        const val MAXIMUM_CHAT_TOKENS = 120
        const val MINIMUM_REVIEW_TOKENS = 150
        const val MAXIMUM_REVIEW_TOKENS = 400
        const val MAXIMUM_COPIES = 3
        const val CRASHING_REQUEST_INTERVAL_MS = 10_000L
        const val CRASHING_REQUEST_REPEATS = 4
        const val CRASHING_REQUEST_REPEAT_DELAY_MS = 300L
        const val MAXIMUM_DELAY_MS = 300L
    }
}
