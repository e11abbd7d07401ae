package io.tarragonport.daemon.gateway

import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.LoopRunner
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** A control loop must outlive whatever it fails on. */
class LoopRunnerTest {
    /** Guards against a list that is never read again after one reading that ran out of stack. */
    @Test
    fun `a loop is logged and restarted after any failure`() =
        runTest {
            val failures = listOf(IllegalStateException(), StackOverflowError(), OutOfMemoryError(), AssertionError())
            failures.forEach { failure ->
                val logged = mutableListOf<Any?>()
                val handler = CoroutineExceptionHandler { _, _ -> }
                val scope = CoroutineScope(SupervisorJob() + StandardTestDispatcher(testScheduler) + handler)
                val runner = LoopRunner(scope, ControlLog { _, fields -> logged += fields.toMap()["error"] })
                var runs = 0
                runner.launch("list") { if (++runs == 1) throw failure }
                testScheduler.advanceTimeBy(LoopRunner.RESTART_DELAY + 1.milliseconds)
                assertEquals(2 to listOf<Any?>(failure), runs to logged, "$failure")
                scope.cancel()
            }
        }
}
