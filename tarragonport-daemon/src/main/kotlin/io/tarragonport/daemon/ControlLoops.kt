package io.tarragonport.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.seconds

/** Runs all control loops of a process on a single thread. */
class ControlLoops {
    private val logger = KotlinLogging.logger {}

    /** Dispatches coroutines to the control thread. */
    val dispatcher: CoroutineDispatcher =
        Executors.newSingleThreadExecutor { Thread(it, "control").apply { isDaemon = true } }.asCoroutineDispatcher()

    /** Scope of coroutines that live as long as the process. */
    val scope = CoroutineScope(SupervisorJob() + dispatcher)

    /** Runs [loop] and restarts it after an unexpected exception; other loops are not affected. */
    fun start(
        name: String,
        loop: suspend () -> Unit,
    ): Job =
        scope.launch {
            while (!completesNormally(name, loop)) {
                delay(RESTART_DELAY)
            }
        }

    /** Cancels all loops. */
    fun stop() = scope.cancel()

    private suspend fun completesNormally(
        name: String,
        loop: suspend () -> Unit,
    ): Boolean =
        try {
            loop()
            true
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.error(exception) { ProcessEvents.PART_FAILED.line("control loop $name failed") }
            false
        }

    private companion object {
        val RESTART_DELAY = 1.seconds
    }
}
