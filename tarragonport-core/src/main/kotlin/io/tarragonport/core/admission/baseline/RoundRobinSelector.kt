package io.tarragonport.core.admission.baseline

/** Chooses the first free server after the one chosen last. */
internal class RoundRobinSelector : BaselineServerSelector {
    private var lastPosition = -1

    override fun choose(free: List<BaselineServer>): BaselineServer {
        val server = free.firstOrNull { it.position > lastPosition } ?: free.first()
        lastPosition = server.position
        return server
    }
}
