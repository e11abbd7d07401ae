package io.tarragonport.core.gateway.overload

/** A part of a request's handling that buffers bytes within a [BufferBudget]. */
interface BufferHolder {
    /** The budget is exceeded and this holder has the most bytes: it discards them and buffers no more. */
    fun discardBuffered()
}
