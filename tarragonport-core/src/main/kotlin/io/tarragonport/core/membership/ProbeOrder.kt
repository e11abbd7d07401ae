package io.tarragonport.core.membership

import io.tarragonport.api.id.VmId
import kotlin.random.Random

/** Iterates over members in random order, each once per round, which bounds the time until each is probed. */
class ProbeOrder(
    private val random: Random,
) {
    private val remaining = ArrayDeque<VmId>()

    /** The next of [members], null if it is empty. */
    fun next(members: List<Member>): Member? {
        val byId = members.associateBy { it.id }
        repeat(2) {
            while (remaining.isNotEmpty()) byId[remaining.removeFirst()]?.let { return it }
            remaining.addAll(byId.keys.shuffled(random))
        }
        return null
    }
}
