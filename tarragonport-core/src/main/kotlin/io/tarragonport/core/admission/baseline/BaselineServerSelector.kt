package io.tarragonport.core.admission.baseline

/** How a baseline picks one of the servers that have a free slot. */
internal fun interface BaselineServerSelector {
    /** One of [free], which is not empty and in the order of the server list. */
    fun choose(free: List<BaselineServer>): BaselineServer
}
