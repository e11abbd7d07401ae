package io.tarragonport.core.membership

import kotlin.math.ceil
import kotlin.math.log2

/**
 * Queue of gossip items to attach to outgoing messages: urgent kinds first, within a kind the least sent first.
 *
 * An item is removed after about [GossipKind.repeats]·log2(n) transmissions, after which all n members have received it
 * with high probability. A newer item with the same key replaces the older one.
 */
class GossipQueue {
    private val items = HashMap<String, Item>()

    val size: Int get() = items.size

    /** Adds or replaces the item with [key]; [value] takes [bytes] bytes when encoded. */
    fun add(
        kind: GossipKind,
        key: String,
        bytes: Int,
        value: Any,
    ) {
        items["$kind/$key"] = Item(kind, value, bytes)
    }

    /** Returns up to [budget] bytes of items that pass [accepts]; removes those at their transmission limit. */
    fun take(
        budget: Int,
        members: Int,
        accepts: (Any) -> Boolean = { true },
    ): List<Any> {
        var remaining = budget
        val selected = ArrayList<Any>()
        items.entries.sortedWith(order).forEach { (key, item) ->
            if (item.bytes <= remaining && accepts(item.value)) {
                remaining -= item.bytes
                selected += item.value
                item.sent += 1
                if (item.sent >= limit(item.kind, members)) items.remove(key)
            }
        }
        return selected
    }

    private fun limit(
        kind: GossipKind,
        members: Int,
    ): Int = ceil(kind.repeats * log2(members + 1.0)).toInt()

    private class Item(
        val kind: GossipKind,
        val value: Any,
        val bytes: Int,
    ) {
        var sent = 0
    }

    private companion object {
        val order = compareBy<Map.Entry<String, Item>>({ it.value.kind }, { it.value.sent })
    }
}
