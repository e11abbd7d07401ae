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
import io.tarragonport.standin.engine.ExpectedAnswer
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.TimeSource

/** Sends requests to VMs and judges what comes back. */
class FaultCaller : AutoCloseable {
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

    /** True if the VM's `/readyz` says so within the timeout, as a balancer would ask. */
    suspend fun ready(vm: VmProcess): Boolean =
        try {
            client.get("http://${vm.address}/readyz").status.isSuccess()
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            false
        }

    /** The VM's `/metrics` page; null if it does not answer. */
    suspend fun metrics(vm: VmProcess): String? =
        try {
            client.get("http://${vm.address}/metrics").takeIf { it.status.isSuccess() }?.bodyAsText()
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            null
        }

    /** Requests that carry [key] where it does not belong: in the body, the query and a second header. */
    suspend fun misplacedKey(
        vm: VmProcess,
        key: String,
        marker: String,
    ): List<CallRecord> {
        val kind = "misplaced key"
        val chats = "/v1/chat/completions"
        val service = "/v1/services/${FaultDocument.SERVICE}/deposits"
        val chat = { text: String ->
            """{"model":"${FaultDocument.MODEL}","messages":[{"role":"user","content":"$text [tokens=1]"}]}"""
        }
        val copies = listOf("X-Api-Key" to key, "Cookie" to "key=$key", "User-Agent" to key)
        val deposit = listOf("X-Request-Class" to "deposit", "Idempotency-Key" to "key-$marker-b")
        val answered = { whole: Boolean -> Judgement(whole, correct = true, broken = false, error = null, ran = null) }
        return listOf(
            call(kind, vm, "$marker-a", key, chats, chat("$marker-a $key"), emptyList()) { answered(true) },
            call(kind, vm, "$marker-b", key, "$service?key=$key", "$marker-b", deposit) { answered(true) },
            call(kind, vm, "$marker-c", key, chats, chat("$marker-c"), copies) { answered(it.status.isSuccess()) },
        )
    }

    /** A streamed chat; [tokens] is the length of its answer. */
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
        val expected = ExpectedAnswer.text(model, listOf(EngineMessage("user", prompt)))
        val content = JsonPrimitive(prompt)
        val body = """{"model":"$model","stream":true,"messages":[{"role":"user","content":$content}]}"""
        val headers =
            listOfNotNull(
                requestClass?.let { "X-Request-Class" to it },
                deadlineMs?.let { "X-Deadline-Ms" to it.toString() },
            )
        return call(kind, vm, marker, key, "/v1/chat/completions", body, headers) { response ->
            val stream = readStream(response)
            Judgement(
                whole = stream.done,
                correct = if (stream.done) stream.text == expected else expected.startsWith(stream.text),
                broken = !stream.done && stream.error == null,
                error = stream.error,
                ran = stream.ran,
            )
        }
    }

    /** A deposit at the ledger under [idempotencyKey]. */
    suspend fun deposit(
        vm: VmProcess,
        key: String,
        marker: String,
        idempotencyKey: String,
    ): CallRecord {
        val headers = listOf("Idempotency-Key" to idempotencyKey, "X-Request-Class" to "deposit")
        val path = "/v1/services/${FaultDocument.SERVICE}/deposits"
        val record =
            call("deposit", vm, marker, key, path, """{"deposit":"$marker"}""", headers) { response ->
                response.bodyAsText()
                Judgement(whole = true, correct = true, broken = false, error = null, ran = null)
            }
        return record.copy(idempotencyKey = idempotencyKey)
    }

    private class Judgement(
        val whole: Boolean,
        val correct: Boolean,
        val broken: Boolean,
        val error: String?,
        val ran: String?,
    )

    private suspend fun call(
        kind: String,
        vm: VmProcess,
        marker: String,
        key: String,
        path: String,
        body: String,
        headers: List<Pair<String, String>>,
        judge: suspend (HttpResponse) -> Judgement,
    ): CallRecord {
        val start = TimeSource.Monotonic.markNow()
        var status = 0
        val judgement =
            try {
                client
                    .preparePost("http://${vm.address}$path") {
                        header("Authorization", "Bearer $key")
                        headers.forEach { (name, value) -> header(name, value) }
                        contentType(ContentType.Application.Json)
                        setBody(body)
                    }.execute { response ->
                        status = response.status.value
                        if (response.status.isSuccess()) judge(response) else error(response.bodyAsText())
                    }
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                val connected = status != 0
                Judgement(
                    whole = false,
                    correct = true,
                    broken = true,
                    error = exception.javaClass.simpleName,
                    ran = null,
                ).also { if (!connected) status = NOT_CONNECTED }
            }
        return CallRecord(
            kind = kind,
            marker = marker,
            vm = vm.id,
            start = start,
            end = TimeSource.Monotonic.markNow(),
            status = status,
            whole = judgement.whole,
            correct = judgement.correct,
            broken = judgement.broken,
            error = judgement.error,
            ran = judgement.ran,
        )
    }

    private fun error(text: String): Judgement {
        val error = errorOf(text)
        return Judgement(
            whole = false,
            correct = true,
            broken = false,
            error = error?.first ?: text,
            ran = error?.second,
        )
    }

    private class Stream(
        val text: String,
        val done: Boolean,
        val error: String?,
        val ran: String?,
    )

    private suspend fun readStream(response: HttpResponse): Stream {
        val channel = response.bodyAsChannel()
        val text = StringBuilder()
        var error: Pair<String, String?>? = null
        try {
            while (true) {
                val line = channel.readUTF8Line() ?: break
                val data = line.removePrefix("data: ").takeIf { it != line } ?: continue
                if (data == "[DONE]") return Stream(text.toString(), done = true, error = null, ran = null)
                error = errorOf(data) ?: error
                text.append(delta(data).orEmpty())
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            // The connection broke; what arrived is judged.
        }
        return Stream(text.toString(), done = false, error = error?.first, ran = error?.second)
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

    private fun errorOf(text: String): Pair<String, String?>? =
        try {
            val error = WireJson.parseToJsonElement(text).jsonObject["error"] as? JsonObject
            error?.let { it["kind"]?.jsonPrimitive?.contentOrNull.orEmpty() to it["ran"]?.jsonPrimitive?.contentOrNull }
        } catch (_: IllegalArgumentException) {
            null
        }

    companion object {
        /** Status of a call whose connection was never opened. */
        const val NOT_CONNECTED = -1
        private const val MAXIMUM_CONNECTIONS = 2_000
        private const val REQUEST_TIMEOUT_MS = 120_000L
        private const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
