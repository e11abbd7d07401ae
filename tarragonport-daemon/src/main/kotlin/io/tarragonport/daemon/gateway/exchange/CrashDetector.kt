package io.tarragonport.daemon.gateway.exchange

import io.netty.channel.EventLoop
import io.tarragonport.core.gateway.balance.TrackedServer
import io.tarragonport.daemon.gateway.egress.ConnectionPools
import io.tarragonport.daemon.gateway.ingress.CallerRequest
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells the crash of a server, which ends all connections to it, from the loss of a single response.
 *
 * If this VM has other connections to the server, the crash is recorded only once they have ended as well.
 */
internal class CrashDetector(
    private val loop: EventLoop,
    private val pools: ConnectionPools,
    private val guard: CrashGuard,
    private val log: RequestLog,
) {
    /** A connection to [server] ended before the response to [request] was complete. */
    fun connectionClosed(
        request: CallerRequest,
        fingerprints: CrashFingerprints,
        server: TrackedServer,
    ) {
        val suspects = fingerprints.all
        val others = pools.observed(server)
        if (others.isEmpty()) return record(request, suspects, server, Duration.ZERO)
        loop.schedule({
            // Their end may have arrived without having been read.
            others.forEach { it.readAvailable() }
            if (others.none { it.observed }) {
                record(request, suspects, server, CONFIRMATION_DELAY)
            } else {
                log.decision(GatewayEvents.SERVER_CRASHED, request, "server" to server.registered.id, "crash" to false)
            }
        }, CONFIRMATION_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun record(
        request: CallerRequest,
        suspects: List<String>,
        server: TrackedServer,
        age: Duration,
    ) {
        log.decision(
            GatewayEvents.SERVER_CRASHED,
            request,
            "server" to server.registered.id,
            "crash" to true,
            "suspects" to suspects,
        )
        guard.crashed(suspects, server.registered.id, age)
    }

    private companion object {
        /** Connections to a crashed server end within some milliseconds of each other. */
        val CONFIRMATION_DELAY: Duration = 100.milliseconds
    }
}
