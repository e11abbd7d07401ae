package io.tarragonport.daemon.peer

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.test.TestDispatcher
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext

/** Runs the coroutines of one process on virtual time and suspends all of them while the process is [frozen]. */
@OptIn(InternalCoroutinesApi::class)
internal class FreezableDispatcher(
    private val clock: TestDispatcher,
) : CoroutineDispatcher(),
    Delay {
    private val waiting = ArrayList<Pair<CoroutineContext, Runnable>>()

    var frozen = false
        set(value) {
            field = value
            if (!value) {
                waiting.forEach { (context, block) -> clock.dispatch(context, block) }
                waiting.clear()
            }
        }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (frozen) waiting += context to block else clock.dispatch(context, block)
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val wakeUp = Runnable { with(continuation) { resumeUndispatched(Unit) } }
        val delay = clock as Delay
        delay.invokeOnTimeout(timeMillis, { dispatch(continuation.context, wakeUp) }, EmptyCoroutineContext)
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = (clock as Delay).invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}
