package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.tool.fault.Disturbance
import io.tarragonport.tool.fault.VmProcess
import io.tarragonport.wire.WireHeaders
import java.io.BufferedReader
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.UUID
import kotlin.random.Random

/**
 * One caller: sends one request after the other on persistent connections and checks each response.
 *
 * It uses the same VM as long as its requests succeed, even during a graceful stop, and after a failure selects a VM at
 * random.
 */
class SoakCaller(
    private val fleet: SoakFleet,
    private val history: RequestHistory,
    private val invariants: SoakInvariants,
    private val random: Random,
) {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
            .build()
    private var vm: VmProcess = fleet.vms[random.nextInt(fleet.vms.size)]

    /** Sends requests while [running] returns true. */
    fun run(running: () -> Boolean) {
        while (running()) {
            val kind = RequestKind.entries[random.nextInt(RequestKind.entries.size)]
            if (!exchange(kind, vm, mayDisconnect = true)) vm = fleet.vms[random.nextInt(fleet.vms.size)]
            Thread.sleep(random.nextLong(MAXIMUM_DELAY_MS))
        }
    }

    /** Sends one request of [kind] to [targetVm]; true if it succeeded. */
    fun exchange(
        kind: RequestKind,
        targetVm: VmProcess,
        mayDisconnect: Boolean = false,
    ): Boolean {
        val request = request(kind, targetVm)
        history.recordSent(request)
        return try {
            val response = client.send(httpRequest(request), HttpResponse.BodyHandlers.ofInputStream())
            invariants.notTruncated.observe(true)
            response.body().use {
                checkResponse(
                    request,
                    response,
                    it,
                    disconnects = mayDisconnect && random.nextDouble() < DISCONNECT_SHARE,
                )
            }
        } catch (failure: IOException) {
            checkFailure(request, failure)
            false
        }
    }

    private fun request(
        kind: RequestKind,
        targetVm: VmProcess,
    ): SoakRequest {
        val id = UUID.randomUUID().toString()
        val path = "${kind.path}${random.nextInt(RESOURCES)}/x%20y?q=$id"
        val body = if (kind.method == "GET") "" else "body of $id"
        val key = fleet.keys.pick(random).takeUnless { kind.public }
        return SoakRequest(id, kind, path, body, key, CALLER_TIMEOUT_MS, targetVm, RequestHistory.now())
    }

    private fun httpRequest(request: SoakRequest): HttpRequest {
        val builder =
            HttpRequest
                .newBuilder(URI("http://${request.vm.address}${request.target}"))
                .timeout(Duration.ofMillis(CALLER_TIMEOUT_MS + RESPONSE_MARGIN_MS))
                .method(request.kind.method, HttpRequest.BodyPublishers.ofString(request.body))
                .setHeader("Host", FleetSamples.HOST)
                .setHeader(WireHeaders.REQUEST_ID, request.id)
                .setHeader(WireHeaders.REMAINING_TIME, "$CALLER_TIMEOUT_MS")
                .setHeader(WireHeaders.ORGANISATION, "forged")
        request.key?.let { builder.setHeader(WireHeaders.KEY, it.value) }
        return builder.build()
    }

    private fun checkResponse(
        request: SoakRequest,
        response: HttpResponse<InputStream>,
        body: InputStream,
        disconnects: Boolean,
    ): Boolean {
        val status = response.statusCode()
        if (status in NOT_EXECUTED_STATUSES) history.recordRefusal(request)
        checkClientError(request, status)
        if (status != SUCCESS) return false
        val signed = response.headers().firstValue(WireHeaders.SIGNATURE).isPresent
        val idMatches = response.headers().firstValue(WireHeaders.REQUEST_ID).orElse("") == request.id
        invariants.ownResponse.observe(signed && idMatches) {
            "${request.id}: response is signed: $signed, request id matches: $idMatches"
        }
        if (request.kind.streams) return checkStream(request, body, disconnects)
        val text = body.readAllBytes().decodeToString()
        val complete = text == SoakServer.body(request.id)
        invariants.ownResponse.observe(complete) { "${request.id} got the body \"$text\"" }
        return complete
    }

    /** A withdrawn key may be rejected; any other client error for a valid request is a breach. */
    private fun checkClientError(
        request: SoakRequest,
        status: Int,
    ) {
        val isClientError = status in CLIENT_ERROR_STATUSES
        if (request.key?.withdrawnAt != null) {
            if (isClientError) invariants.withdrawnKeys.observe(true)
        } else if (!fleet.keys.changeInProgress) {
            invariants.clientErrors.observe(!isClientError) { "${request.id}: ${request.kind} got status $status" }
        }
    }

    private fun checkStream(
        request: SoakRequest,
        body: InputStream,
        disconnects: Boolean,
    ): Boolean {
        val reader = body.bufferedReader()
        var number = 0
        while (true) {
            val event = nextEvent(reader)
            if (event.isEmpty()) break
            number++
            val expected = event == SoakServer.event(request.id, number)
            invariants.eventOrder.observe(expected) { "${request.id}: event $number is \"$event\"" }
            if (!expected) return false
            if (disconnects && number == DISCONNECT_AFTER_EVENTS) {
                body.close()
                request.disconnectedAt = RequestHistory.now()
                invariants.disconnected.observe(true)
                return true
            }
        }
        val complete = number == SoakServer.EVENTS
        invariants.eventOrder.observe(complete) { "stream of ${request.id} ended as complete after $number events" }
        return complete
    }

    /** The next event with its final empty line, or an empty string at the end of the stream. */
    private fun nextEvent(reader: BufferedReader): String {
        val text = StringBuilder()
        while (true) {
            val line = reader.readLine() ?: return text.toString()
            text.append(line).append('\n')
            if (line.isEmpty()) return text.toString()
        }
    }

    /**
     * Checks a request without a complete response. This is a breach unless the VM or the server was disturbed, the
     * deadline was near or no server received the request.
     */
    private fun checkFailure(
        request: SoakRequest,
        failure: IOException,
    ) {
        val vmDisturbed = request.vm.disturbedSince(request.sentAt, TRUNCATING_DISTURBANCES) || !request.vm.alive
        val nearDeadline = request.sentAt.elapsedNow().inWholeMilliseconds >= CALLER_TIMEOUT_MS * NEAR_DEADLINE_SHARE
        val allowed = vmDisturbed || nearDeadline || request.affectedByFault || request.executions == 0
        if (request.executions > 0) {
            invariants.notTruncated.observe(allowed) {
                "${request.id}: ${request.kind} at ${request.vm.id} after ${request.executions} executions: $failure"
            }
        }
    }

    private companion object {
        const val SUCCESS = 200
        const val RESOURCES = 50
        const val CALLER_TIMEOUT_MS = 2_500L

        /** The caller waits longer than the timeout that it states, to receive a response sent just at the deadline. */
        const val RESPONSE_MARGIN_MS = 1_000L
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MAXIMUM_DELAY_MS = 60L
        const val DISCONNECT_SHARE = 0.1
        const val DISCONNECT_AFTER_EVENTS = 5

        /** After this share of its timeout a request may end without a response from a server. */
        const val NEAR_DEADLINE_SHARE = 0.7

        /** Statuses which state that the request has not been executed and never will be. */
        val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
        val CLIENT_ERROR_STATUSES = setOf(400, 401, 403, 404, 413, 431)

        /** Disturbances during which a VM may truncate responses; a graceful stop is not one of them. */
        val TRUNCATING_DISTURBANCES = setOf(Disturbance.KILLED, Disturbance.FROZEN)
    }
}
