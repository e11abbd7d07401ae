package io.tarragonport.standin.engine

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Models of an engine stand-in.
 *
 * [initial] lists the models loaded at startup; null means that the engine serves any model. Loading a model takes
 * [loadMs].
 */
class LoadedModels(
    private val initial: List<String>?,
    private val loadMs: Long,
    private val timeSource: TimeSource,
) {
    private val readyAt = HashMap<String, TimeMark>()

    /** Starts loading [model] unless it is already loaded or loading. */
    @Synchronized
    fun load(model: String) {
        readyAt.getOrPut(model) { timeSource.markNow() + loadMs.milliseconds }
    }

    /** Models listed in the load report; null if the engine serves any model. */
    @Synchronized
    fun reported(): List<String>? = initial?.plus(readyAt.filterValues { it.hasPassedNow() }.keys)?.distinct()

    fun serves(model: String): Boolean = reported()?.contains(model) ?: true
}
