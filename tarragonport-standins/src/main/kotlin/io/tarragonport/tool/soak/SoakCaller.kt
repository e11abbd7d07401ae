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
 * One caller: sends a request after the other on connections that it keeps, and checks each answer.
 *
 * It stays with a VM while that one answers, also while the VM stops, and goes to another one when it does not.
 */
class SoakCaller(
    private val fleet: SoakFleet,
    private val ledger: RunLedger,
    private val invariants: SoakInvariants,
    private val random: Random,
) {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_MS))
            .build()
    private var vm: VmProcess = fleet.vms[random.nextInt(fleet.vms.size)]

    /** Sends requests while [going] says so. */
    fun run(going: () -> Boolean) {
        while (going()) {
            val kind = RequestKind.entries[random.nextInt(RequestKind.entries.size)]
            if (!exchange(kind, vm, mayLeave = true)) vm = fleet.vms[random.nextInt(fleet.vms.size)]
            Thread.sleep(random.nextLong(LONGEST_PAUSE_MS))
        }
    }

    /** Sends one request of [kind] to [target]; true if it was answered with success. */
    fun exchange(
        kind: RequestKind,
        target: VmProcess,
        mayLeave: Boolean = false,
    ): Boolean {
        val request = request(kind, target)
        ledger.sent(request)
        return try {
            val answer = client.send(httpRequest(request), HttpResponse.BodyHandlers.ofInputStream())
            invariants.uncut.observe(true)
            answer.body().use { check(request, answer, it, leaves = mayLeave && random.nextDouble() < LEAVING_SHARE) }
        } catch (failure: IOException) {
            broken(request, failure)
            false
        }
    }

    private fun request(
        kind: RequestKind,
        target: VmProcess,
    ): SoakRequest {
        val id = UUID.randomUUID().toString()
        val path = "${kind.path}${random.nextInt(THINGS)}/x%20y?q=$id"
        val body = if (kind.method == "GET") "" else "body of $id"
        val key = fleet.keys.pick(random).takeUnless { kind.public }
        return SoakRequest(id, kind, path, body, key, PATIENCE_MS, target, RunLedger.now())
    }

    private fun httpRequest(request: SoakRequest): HttpRequest {
        val builder =
            HttpRequest
                .newBuilder(URI("http://${request.vm.address}${request.target}"))
                .timeout(Duration.ofMillis(PATIENCE_MS + GRACE_MS))
                .method(request.kind.method, HttpRequest.BodyPublishers.ofString(request.body))
                .setHeader("Host", FleetSamples.HOST)
                .setHeader(WireHeaders.REQUEST_ID, request.id)
                .setHeader(WireHeaders.TIME_LEFT, "$PATIENCE_MS")
                .setHeader(WireHeaders.ORGANISATION, "forged")
        request.key?.let { builder.setHeader(WireHeaders.KEY, it.value) }
        return builder.build()
    }

    private fun check(
        request: SoakRequest,
        answer: HttpResponse<InputStream>,
        body: InputStream,
        leaves: Boolean,
    ): Boolean {
        val status = answer.statusCode()
        if (status in PROMISES) ledger.refused(request)
        checkDenial(request, status)
        if (status != SUCCESS) return false
        val signed = answer.headers().firstValue(WireHeaders.SIGNATURE).isPresent
        val own = answer.headers().firstValue(WireHeaders.REQUEST_ID).orElse("") == request.id
        invariants.ownAnswer.observe(signed && own) { "${request.id}: signed $signed, own id $own" }
        if (request.kind.streams) return checkStream(request, body, leaves)
        val text = body.readAllBytes().decodeToString()
        val whole = text == SoakServer.body(request.id)
        invariants.ownAnswer.observe(whole) { "${request.id} got \"$text\"" }
        return whole
    }

    /** A withdrawn key is denied once that is known; every other denial of a proper request is wrong. */
    private fun checkDenial(
        request: SoakRequest,
        status: Int,
    ) {
        val denied = status in DENIALS
        if (request.key?.revokedAt != null) {
            if (denied) invariants.revoked.observe(true)
        } else if (!fleet.keys.changing) {
            invariants.denied.observe(!denied) { "${request.id}: ${request.kind} got $status" }
        }
    }

    private fun checkStream(
        request: SoakRequest,
        body: InputStream,
        leaves: Boolean,
    ): Boolean {
        val reader = body.bufferedReader()
        var number = 0
        while (true) {
            val event = nextEvent(reader)
            if (event.isEmpty()) break
            number++
            val right = event == SoakServer.event(request.id, number)
            invariants.order.observe(right) { "${request.id}: event $number is \"$event\"" }
            if (!right) return false
            if (leaves && number == LEAVES_AFTER) {
                body.close()
                request.leftAt = RunLedger.now()
                invariants.gone.observe(true)
                return true
            }
        }
        val whole = number == SoakServer.EVENTS
        invariants.order.observe(whole) { "${request.id} ended as complete after $number events" }
        return whole
    }

    /** The next event with its final empty line, or an empty text at the end. */
    private fun nextEvent(reader: BufferedReader): String {
        val text = StringBuilder()
        while (true) {
            val line = reader.readLine() ?: return text.toString()
            text.append(line).append('\n')
            if (line.isEmpty()) return text.toString()
        }
    }

    /** No complete answer: allowed if the VM or the server was disturbed, or if nothing was sent to a server. */
    private fun broken(
        request: SoakRequest,
        failure: IOException,
    ) {
        val vmDisturbed = request.vm.disturbedSince(request.sentAt, HARD) || !request.vm.alive
        val late = request.sentAt.elapsedNow().inWholeMilliseconds >= PATIENCE_MS * MOST_OF_PATIENCE
        val excused = vmDisturbed || late || request.spoiled || request.runs == 0
        if (request.runs > 0) {
            invariants.uncut.observe(excused) {
                "${request.id}: ${request.kind} at ${request.vm.id} after ${request.runs} runs: $failure"
            }
        }
    }

    private companion object {
        const val SUCCESS = 200
        const val THINGS = 50
        const val PATIENCE_MS = 2_500L

        /** The caller waits longer than it says, so that an answer at the deadline arrives. */
        const val GRACE_MS = 1_000L
        const val CONNECT_MS = 1_000L
        const val LONGEST_PAUSE_MS = 60L
        const val LEAVING_SHARE = 0.1
        const val LEAVES_AFTER = 5

        /** Near its deadline a request may end without an answer of a server. */
        const val MOST_OF_PATIENCE = 0.7

        /** Statuses that say that the request has not run and never will. */
        val PROMISES = setOf(408, 421, 429, 503)
        val DENIALS = setOf(400, 401, 403, 404, 413, 431)

        /** Disturbances after which a VM may cut answers; a graceful stop is none of them. */
        val HARD = setOf(Disturbance.KILLED, Disturbance.FROZEN)
    }
}
