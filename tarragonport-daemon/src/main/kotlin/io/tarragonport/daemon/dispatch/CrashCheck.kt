package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.BackendServerClient
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects whether a model engine crashed: it refuses connections after a stream broke. Checks twice, because a crashing
 * engine can close its streams some milliseconds before it refuses connections.
 */
class CrashCheck(
    private val client: BackendServerClient,
) {
    /** True if the engine at [address] refuses connections now or [SECOND_CHECK_DELAY] later. */
    suspend fun hasCrashed(address: String): Boolean {
        if (refusesConnections(address)) return true
        delay(SECOND_CHECK_DELAY)
        return refusesConnections(address)
    }

    private suspend fun refusesConnections(address: String): Boolean =
        client.load(address).fold({ it is BackendFailure.NotSent }, { false })

    companion object {
        val SECOND_CHECK_DELAY = 50.milliseconds
    }
}
