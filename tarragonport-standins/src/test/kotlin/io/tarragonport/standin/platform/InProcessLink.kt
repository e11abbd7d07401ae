package io.tarragonport.standin.platform

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.platform.PlatformError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulated connection of one VM to the platform in virtual time.
 *
 * A call that was sent takes effect even if its response is lost, the VM is [paused] or the call times out. The effect
 * runs in [platformScope], independently of the caller. [latencyMs] is the maximum latency in each direction.
 */
class InProcessLink(
    private val platformScope: CoroutineScope,
    private val random: Random,
    private val timeout: Duration,
) {
    val paused = MutableStateFlow(false)
    var unavailable = false
    var loseAnswerShare = 0.0
    var latencyMs = 5L

    /** Sends a call unless [permitted], evaluated immediately before sending, returns false. */
    suspend fun <T> call(
        permitted: () -> Boolean = { true },
        effect: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        awaitNotPaused()
        delay(latency())
        awaitNotPaused()
        if (!permitted()) {
            return PlatformError.Refused("withheld").left()
        }
        if (unavailable) {
            return PlatformError.Unavailable("outage").left()
        }
        val call =
            platformScope.async {
                delay(latency())
                effect()
            }
        val response =
            withTimeoutOrNull(timeout) {
                call.await().also { delay(latency()) }
            }
        awaitNotPaused()
        return response.takeIf { random.nextDouble() >= loseAnswerShare }
            ?: PlatformError.Unavailable("no response").left()
    }

    private suspend fun awaitNotPaused() {
        paused.first { !it }
    }

    private fun latency(): Duration = random.nextLong(latencyMs + 1).milliseconds
}
