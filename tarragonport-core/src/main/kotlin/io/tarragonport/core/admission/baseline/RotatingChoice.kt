package io.tarragonport.core.admission.baseline

/** The first free server after the one chosen last. */
internal class RotatingChoice : BaselineServerSelector {
    private var last = -1

    override fun choose(free: List<BaselineServer>): BaselineServer {
        val server = free.firstOrNull { it.position > last } ?: free.first()
        last = server.position
        return server
    }
}
