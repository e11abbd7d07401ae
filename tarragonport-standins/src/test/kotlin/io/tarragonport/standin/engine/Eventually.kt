package io.tarragonport.standin.engine

import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Waits until [condition] holds; fails with [message] after [within]. */
fun eventually(
    within: Duration = 10.seconds,
    message: () -> String = { "condition does not hold" },
    condition: () -> Boolean,
) {
    val start = TimeSource.Monotonic.markNow()
    while (!condition()) {
        assertTrue(start.elapsedNow() < within, message())
        Thread.sleep(5)
    }
}
