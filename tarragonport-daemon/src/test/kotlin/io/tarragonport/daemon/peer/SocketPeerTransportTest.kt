package io.tarragonport.daemon.peer

import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerCodec
import io.tarragonport.api.peer.PeerEnvelope
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.daemon.TestPorts
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.DataOutputStream
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a faulty peer that affects other connections, and against connections that are not reopened. */
class SocketPeerTransportTest {
    private class Endpoint(
        val address: String = "127.0.0.1:${TestPorts.next()}",
    ) {
        val transport = SocketPeerTransport(address)
        val received = Channel<String>(Channel.UNLIMITED)
        var job: Job? = null

        fun start(scope: CoroutineScope): Endpoint {
            job =
                scope.launch(Dispatchers.Default) {
                    transport.run { received.send((it.message as PeerMessage.IntentCommit).operation) }
                }
            return this
        }
    }

    private fun envelope(text: String) = PeerEnvelope(VmId("vm-1"), Incarnation(1), PeerMessage.IntentCommit(1, text))

    /** Sends [text] repeatedly until it arrives, because messages can be lost while connections open. */
    private suspend fun deliver(
        from: Endpoint,
        to: Endpoint,
        text: String,
    ) = withTimeout(10.seconds) {
        coroutineScope {
            val sending =
                launch {
                    while (true) {
                        from.transport.send(to.address, envelope(text))
                        delay(50.milliseconds)
                    }
                }
            while (to.received.receive() != text) Unit
            sending.cancel()
        }
    }

    private fun onSockets(body: suspend CoroutineScope.() -> Unit) =
        runBlocking {
            val work = launch { body() }
            work.join()
        }

    @Test
    fun `messages go both ways and again after a restart of the peer`() =
        onSockets {
            val first = Endpoint().start(this)
            val second = Endpoint().start(this)
            deliver(first, second, "one")
            deliver(second, first, "two")
            second.job?.cancelAndJoin()
            val restarted = Endpoint(second.address).start(this)
            deliver(first, restarted, "three")
            deliver(restarted, first, "four")
            listOf(first, restarted).forEach { it.job?.cancelAndJoin() }
        }

    /** Guards against a selector that has not yet closed the listening socket when the transport ends. */
    @Test
    fun `the address is free as soon as the transport has ended`() =
        onSockets {
            val peer = Endpoint().start(this)
            val address = Endpoint().address
            repeat(RESTARTS) { index ->
                val endpoint = Endpoint(address).start(this)
                deliver(peer, endpoint, "restart-$index")
                endpoint.job?.cancelAndJoin()
            }
            peer.job?.cancelAndJoin()
        }

    @Test
    fun `an unreadable frame closes its connection and no other`() =
        onSockets {
            val healthy = Endpoint().start(this)
            val target = Endpoint().start(this)
            deliver(healthy, target, "before")
            val addressFrame = "127.0.0.1:1".encodeToByteArray()
            val frame = PeerCodec.encode(envelope("x"))
            val cases: List<Pair<String, (DataOutputStream) -> Unit>> =
                listOf(
                    "incomplete length" to { it.write(ByteArray(2)) },
                    "length above the limit" to { it.writeInt(Int.MAX_VALUE) },
                    "negative length" to { it.writeInt(-1) },
                    "empty frame" to { it.writeInt(0) },
                    "not CBOR" to { out -> "GET / HTTP/1.1\r\n".toByteArray().let { out.frame(it) } },
                    "truncated CBOR" to { out -> out.frame(frame.copyOf(frame.size / 2)) },
                    "huge CBOR list" to
                        { out -> out.frame(byteArrayOf(0x9b.toByte(), 127, -1, -1, -1, -1, -1, -1, -1)) },
                )
            cases.forEachIndexed { index, (name, write) ->
                Socket("127.0.0.1", target.address.substringAfter(':').toInt()).use { socket ->
                    socket.soTimeout = 8_000
                    val output = DataOutputStream(socket.getOutputStream())
                    output.frame(addressFrame)
                    write(output)
                    output.flush()
                    if (name == "incomplete length") socket.shutdownOutput()
                    assertEquals(-1, socket.getInputStream().read(), name)
                }
                deliver(healthy, target, "after-$index")
            }
            listOf(healthy, target).forEach { it.job?.cancelAndJoin() }
        }

    private companion object {
        const val RESTARTS = 100
    }

    private fun DataOutputStream.frame(content: ByteArray) {
        writeInt(content.size)
        write(content)
    }

    @Test
    fun `an unreachable address does not delay messages to other addresses`() =
        onSockets {
            val first = Endpoint().start(this)
            val second = Endpoint().start(this)
            listOf("127.0.0.1:1", "no-such-address", "127.0.0.1:999999").forEach { address ->
                repeat(100) { first.transport.send(address, envelope("lost")) }
            }
            deliver(first, second, "one")
            listOf(first, second).forEach { it.job?.cancelAndJoin() }
        }
}
