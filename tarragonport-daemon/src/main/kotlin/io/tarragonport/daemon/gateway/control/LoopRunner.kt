package io.tarragonport.daemon.gateway.control

import io.tarragonport.daemon.gateway.exchange.GatewayEvents
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs control loops in [scope]. A loop that fails unexpectedly is logged and restarted; the others keep running. */
internal class LoopRunner(
    private val scope: CoroutineScope,
    private val log: ControlLog,
) {
    /** Runs [loop] until it returns or [scope] is cancelled. */
    fun launch(
        name: String,
        loop: suspend () -> Unit,
    ): Job =
        scope.launch {
            while (true) {
                try {
                    return@launch loop()
                } catch (exception: CancellationException) {
                    throw exception
                } catch (failure: Throwable) {
                    log.event(GatewayEvents.PART_FAILED, "part" to name, "error" to failure)
                    delay(RESTART_DELAY)
                }
            }
        }

    companion object {
        /** Delay before a failed loop is restarted. */
        val RESTART_DELAY: Duration = 500.milliseconds
    }
}
