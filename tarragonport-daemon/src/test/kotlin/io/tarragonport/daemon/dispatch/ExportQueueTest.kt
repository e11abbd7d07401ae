package io.tarragonport.daemon.dispatch

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against exports out of order, too many concurrent exports, and slots leaked by cancelled exports. */
class ExportQueueTest {
    @Test
    fun `exports of one server run in order and within the concurrency limit, also when some are cancelled`() =
        runTest {
            val queue = ExportQueue()
            val started = mutableListOf<Long>()
            var running = 0
            val jobs =
                (12L downTo 1L).map { number ->
                    launch {
                        queue.runInOrder("a", number) {
                            started += number
                            running++
                            assertEquals(true, running <= ExportQueue.MAXIMUM_CONCURRENT, "$running exports at once")
                            try {
                                delay(1.seconds)
                            } finally {
                                running--
                            }
                        }
                    }
                }
            launch { queue.runInOrder("b", 99) { started += 99 } }
            delay(0.5.seconds)
            assertEquals(listOf(12L, 11, 10, 9, 99), started)
            jobs[0].cancelAndJoin()
            jobs[10].cancelAndJoin()
            jobs.forEach { it.join() }
            assertEquals(listOf(12L, 11, 10, 9, 99, 1, 3, 4, 5, 6, 7, 8), started)
        }
}
