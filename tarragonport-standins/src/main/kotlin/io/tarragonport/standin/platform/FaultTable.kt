package io.tarragonport.standin.platform

import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Injected faults by interface; [seed] determines which responses are dropped. */
class FaultTable(
    seed: Long = 1,
) {
    private val random = Random(seed)
    private val faults = ConcurrentHashMap<PlatformInterface, Faults>()

    operator fun get(target: PlatformInterface): Faults = faults[target] ?: Faults()

    operator fun set(
        target: PlatformInterface,
        value: Faults,
    ) {
        faults[target] = value
    }

    /** Replaces the faults of the interfaces named in [update]; throws on an unknown interface name. */
    fun replace(update: Map<String, Faults>) {
        val targets = update.map { (name, value) -> interfaceNamed(name) to value }
        targets.forEach { (target, value) -> faults[target] = value }
    }

    /** Decides at random whether the response to one write to [target] is dropped. */
    @Synchronized
    fun dropsResponse(target: PlatformInterface): Boolean = random.nextDouble() < get(target).loseAnswerShare

    private fun interfaceNamed(name: String): PlatformInterface =
        requireNotNull(PlatformInterface.entries.find { it.wireName == name }) { "unknown interface $name" }
}
