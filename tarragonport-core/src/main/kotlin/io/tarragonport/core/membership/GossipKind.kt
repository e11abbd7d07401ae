package io.tarragonport.core.membership

/** Kinds of gossip items in order of urgency; an item is sent about [repeats] times log2 of the member count. */
enum class GossipKind(
    val repeats: Int,
) {
    MEMBER(3),
    LEAVING_SERVER(3),
    CRASH(3),

    // Superseded by a newer report every few seconds, so a lost one does little harm.
    DEMAND(1),
}
