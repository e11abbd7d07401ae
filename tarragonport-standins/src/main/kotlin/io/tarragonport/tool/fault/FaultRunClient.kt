package io.tarragonport.tool.fault

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readUTF8Line
import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.standin.engine.ExpectedCompletion
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.TimeSource

/** HTTP client of the callers in a fault run: sends requests to VMs and checks the responses. */
class FaultRunClient : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            engine { maxConnectionsCount = MAXIMUM_CONNECTIONS }
            install(HttpTimeout) {
                requestTimeoutMillis = REQUEST_TIMEOUT_MS
                connectTimeoutMillis = CONNECT_TIMEOUT_MS
            }
            expectSuccess = false
        }

    override fun close() = client.close()

    /** True if the VM's `/readyz` responds with success before the timeout; a load balancer polls it the same way. */
    suspend fun isReady(vm: VmProcess): Boolean =
        try {
            client.get("http://${vm.address}/readyz").status.isSuccess()
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            false
        }

    /** The VM's `/metrics` page; null if the request fails. */
    suspend fun metrics(vm: VmProcess): String? =
        try {
            client.get("http://${vm.address}/metrics").takeIf { it.status.isSuccess() }?.bodyAsText()
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            null
        }

    /** Sends three requests that contain [key] where it must not be: in the body, in the query and in other headers. */
    suspend fun sendMisplacedKeys(
        vm: VmProcess,
        key: String,
        marker: String,
    ): List<CallRecord> {
        val kind = "misplaced key"
        val chatPath = "/v1/chat/completions"
        val depositPath = "/v1/services/${FaultRunConfiguration.SERVICE}/deposits"
        val chat = { text: String ->
            """{"model":"${FaultRunConfiguration.MODEL}","messages":[{"role":"user","content":"$text [tokens=1]"}]}"""
        }
        val keyCopies = listOf("X-Api-Key" to key, "Cookie" to "key=$key", "User-Agent" to key)
        val deposit = listOf("X-Request-Class" to "deposit", "Idempotency-Key" to "key-$marker-b")
        val check = { complete: Boolean ->
            ResponseCheck(complete, correct = true, connectionLost = false, error = null, executionStatus = null)
        }
        return listOf(
            call(kind, vm, "$marker-a", key, chatPath, chat("$marker-a $key"), emptyList()) { check(true) },
            call(kind, vm, "$marker-b", key, "$depositPath?key=$key", "$marker-b", deposit) { check(true) },
            call(kind, vm, "$marker-c", key, chatPath, chat("$marker-c"), keyCopies) { check(it.status.isSuccess()) },
        )
    }

    /** Sends a streamed chat request; [tokens] is the length of its response. */
    suspend fun chat(
        kind: String,
        vm: VmProcess,
        key: String,
        model: String,
        marker: String,
        tokens: Int,
        requestClass: String? = null,
        deadlineMs: Long? = null,
    ): CallRecord {
        val prompt = "$marker [tokens=$tokens]"
        val expected = ExpectedCompletion.text(model, listOf(EngineMessage("user", prompt)))
        val content = JsonPrimitive(prompt)
        val body = """{"model":"$model","stream":true,"messages":[{"role":"user","content":$content}]}"""
        val headers =
            listOfNotNull(
                requestClass?.let { "X-Request-Class" to it },
                deadlineMs?.let { "X-Deadline-Ms" to it.toString() },
            )
        return call(kind, vm, marker, key, "/v1/chat/completions", body, headers) { response ->
            val stream = readStream(response)
            ResponseCheck(
                complete = stream.done,
                correct = if (stream.done) stream.text == expected else expected.startsWith(stream.text),
                connectionLost = !stream.done && stream.error == null,
                error = stream.error,
                executionStatus = stream.executionStatus,
            )
        }
    }

    /** Sends a deposit to the ledger service with [idempotencyKey]. */
    suspend fun deposit(
        vm: VmProcess,
        key: String,
        marker: String,
        idempotencyKey: String,
    ): CallRecord {
        val headers = listOf("Idempotency-Key" to idempotencyKey, "X-Request-Class" to "deposit")
        val path = "/v1/services/${FaultRunConfiguration.SERVICE}/deposits"
        val record =
            call("deposit", vm, marker, key, path, """{"deposit":"$marker"}""", headers) { response ->
                response.bodyAsText()
                ResponseCheck(
                    complete = true,
                    correct = true,
                    connectionLost = false,
                    error = null,
                    executionStatus = null,
                )
            }
        return record.copy(idempotencyKey = idempotencyKey)
    }

    private class ResponseCheck(
        val complete: Boolean,
        val correct: Boolean,
        val connectionLost: Boolean,
        val error: String?,
        val executionStatus: String?,
    )

    private suspend fun call(
        kind: String,
        vm: VmProcess,
        marker: String,
        key: String,
        path: String,
        body: String,
        headers: List<Pair<String, String>>,
        checkResponse: suspend (HttpResponse) -> ResponseCheck,
    ): CallRecord {
        val start = TimeSource.Monotonic.markNow()
        var status = 0
        val check =
            try {
                client
                    .preparePost("http://${vm.address}$path") {
                        header("Authorization", "Bearer $key")
                        headers.forEach { (name, value) -> header(name, value) }
                        contentType(ContentType.Application.Json)
                        setBody(body)
                    }.execute { response ->
                        status = response.status.value
                        if (response.status.isSuccess()) checkResponse(response) else rejected(response.bodyAsText())
                    }
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                val connected = status != 0
                ResponseCheck(
                    complete = false,
                    correct = true,
                    connectionLost = true,
                    error = exception.javaClass.simpleName,
                    executionStatus = null,
                ).also { if (!connected) status = NOT_CONNECTED }
            }
        return CallRecord(
            kind = kind,
            marker = marker,
            vm = vm.id,
            start = start,
            end = TimeSource.Monotonic.markNow(),
            status = status,
            complete = check.complete,
            correct = check.correct,
            connectionLost = check.connectionLost,
            error = check.error,
            executionStatus = check.executionStatus,
        )
    }

    /** Result for an error response with the body [text]. */
    private fun rejected(text: String): ResponseCheck {
        val error = errorOf(text)
        return ResponseCheck(
            complete = false,
            correct = true,
            connectionLost = false,
            error = error?.first ?: text,
            executionStatus = error?.second,
        )
    }

    private class Stream(
        val text: String,
        val done: Boolean,
        val error: String?,
        val executionStatus: String?,
    )

    private suspend fun readStream(response: HttpResponse): Stream {
        val channel = response.bodyAsChannel()
        val text = StringBuilder()
        var error: Pair<String, String?>? = null
        try {
            while (true) {
                val line = channel.readUTF8Line() ?: break
                val data = line.removePrefix("data: ").takeIf { it != line } ?: continue
                if (data == "[DONE]") return Stream(text.toString(), done = true, error = null, executionStatus = null)
                error = errorOf(data) ?: error
                text.append(delta(data).orEmpty())
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            // The connection ended early; the caller checks the text received so far.
        }
        return Stream(text.toString(), done = false, error = error?.first, executionStatus = error?.second)
    }

    private fun delta(data: String): String? =
        (WireJson.parseToJsonElement(data).jsonObject["choices"])
            ?.jsonArray
            ?.firstOrNull()
            ?.jsonObject
            ?.get("delta")
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.contentOrNull

    /** The error kind and the execution status in [text]; null if it is not an error response. */
    private fun errorOf(text: String): Pair<String, String?>? =
        try {
            val error = WireJson.parseToJsonElement(text).jsonObject["error"] as? JsonObject
            error?.let { it["kind"]?.jsonPrimitive?.contentOrNull.orEmpty() to it["ran"]?.jsonPrimitive?.contentOrNull }
        } catch (_: IllegalArgumentException) {
            null
        }

    companion object {
        /** Status of a call that got no HTTP response. */
        const val NOT_CONNECTED = -1
        private const val MAXIMUM_CONNECTIONS = 2_000
        private const val REQUEST_TIMEOUT_MS = 120_000L
        private const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
