package io.tarragonport.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.nio.AbstractNioChannel

/**
 * Reads what has arrived on this channel and passes it on, as if the event loop had polled the channel now.
 *
 * The event loop polls once a round, and a round of a busy process can last hundreds of milliseconds. A decision that
 * depends on the absence of input is made after this call. Called on the channel's event loop.
 */
internal fun Channel.readAvailable() {
    val unsafe = unsafe()
    if (isOpen && unsafe is AbstractNioChannel.NioUnsafe) unsafe.read()
}
