package io.tarragonport.daemon.peer

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.StoredObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Delivers encoded messages between VMs in memory; tests can drop and delay messages. */
internal class VirtualNetwork(
    private val scope: CoroutineScope,
    seed: Int = 1,
) {
    private val inboxes = HashMap<String, Channel<ByteArray>>()
    private val random = Random(seed)

    /** True if messages from the first to the second address are dropped. */
    var drops: (String, String) -> Boolean = { _, _ -> false }

    /** Called for every message that is sent, with its size in bytes. */
    var onSend: (PeerEnvelope, Int) -> Unit = { _, _ -> }

    /** Additional delay of messages from the first to the second address. */
    var extraDelay: (String, String) -> Duration = { _, _ -> Duration.ZERO }

    /** Upper bound of the random delay of a message; messages can overtake each other. */
    var maximumDelay: Duration = 2.milliseconds

    fun transport(address: String) =
        object : PeerTransport {
            override suspend fun run(receive: suspend (PeerEnvelope) -> Unit) {
                val inbox = Channel<ByteArray>(Channel.UNLIMITED)
                inboxes[address] = inbox
                for (bytes in inbox) PeerCodec.decode(bytes).getOrNull()?.let { receive(it) }
            }

            override fun send(
                address: String,
                envelope: PeerEnvelope,
            ) {
                val bytes = PeerCodec.encode(envelope)
                onSend(envelope, bytes.size)
                deliver(envelope.from.value, address, bytes)
            }
        }

    private fun deliver(
        from: String,
        to: String,
        bytes: ByteArray,
    ) {
        if (drops(from, to)) return
        val latency = random.nextLong(1, maximumDelay.inWholeMilliseconds + 1).milliseconds
        scope.launch {
            delay(latency + extraDelay(from, to))
            inboxes[to]?.trySend(bytes)
        }
    }
}

/** One VM's connection to the object store. */
internal class StoreConnection(
    private val store: ObjectStore,
) : ObjectStore by store {
    var disconnected = false

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> = callIfConnected { store.get(name) }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> = callIfConnected { store.list(prefix, withValues) }

    override suspend fun watch(
        prefix: String,
        after: io.tarragonport.api.id.ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> = callIfConnected { store.watch(prefix, after, wait) }

    private suspend fun <T> callIfConnected(call: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> {
        val response = if (disconnected) null else call()
        return response?.takeIf { !disconnected } ?: PlatformError.Unavailable("no path").left()
    }
}
