package io.tarragonport.tool.fault

import io.tarragonport.standin.engine.EngineFaults
import io.tarragonport.standin.engine.EngineSettings
import io.tarragonport.standin.engine.EngineStandIn
import io.tarragonport.standin.engine.ReceivedLog
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/** An address at which an engine stand-in runs; after a crash a new one starts there with an empty cache. */
class EngineSlot(
    val id: String,
    private val tokensPerSecond: Double,
    private val baseFaults: EngineFaults,
) : AutoCloseable {
    /** One engine that ran at this address. */
    class Incarnation(
        val engine: EngineStandIn,
        val start: ComparableTimeMark,
    )

    private val incarnations = mutableListOf<Incarnation>()

    @Volatile
    private var closed = false

    var crashes = 0
        private set

    val port: Int = FreePorts.next()

    init {
        startEngine()
    }

    val address: String get() = "http://127.0.0.1:$port"

    fun setFaults(faults: EngineFaults) {
        current().faults = faults.copy(crashMarker = baseFaults.crashMarker)
    }

    fun clearFaults() {
        current().faults = baseFaults
    }

    fun crash() = onCrash(current())

    /** The requests that all engines of this slot received, with the start time of each engine. */
    fun received(): List<Pair<ComparableTimeMark, ReceivedLog>> =
        synchronized(incarnations) { incarnations.toList() }.map { it.start to it.engine.received() }

    override fun close() {
        closed = true
        current().stop()
    }

    private fun current(): EngineStandIn = synchronized(incarnations) { incarnations.last().engine }

    private fun startEngine() {
        val settings = EngineSettings(id = id, tokensPerSecond = tokensPerSecond, port = port)
        val engine = EngineStandIn(settings, onCrash = ::onCrash)
        engine.faults = baseFaults
        engine.start()
        synchronized(incarnations) { incarnations += Incarnation(engine, TimeSource.Monotonic.markNow()) }
    }

    private fun onCrash(engine: EngineStandIn) {
        synchronized(incarnations) {
            if (closed || incarnations.last().engine !== engine) return
            crashes++
        }
        val stopped = CountDownLatch(1)
        thread(isDaemon = true) {
            engine.stop()
            stopped.countDown()
            Thread.sleep(RESTART_DELAY_MS)
            if (!closed) startEngine()
        }
        // A crashed process sends no more responses, not even to the request that crashed it.
        stopped.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val RESTART_DELAY_MS = 1_500L
        const val STOP_TIMEOUT_MS = 500L
    }
}
