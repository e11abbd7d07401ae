package io.tarragonport.tool.quickstart

/**
 * Calls of plain services, which are executed at most once. Repeating a call with the same idempotency key must return
 * the recorded response.
 */
internal class ServiceCases {
    private val firstResponses = mutableMapOf<String, String>()

    /** A call that the service executes once. */
    fun executedOnce(
        title: String,
        path: String,
        key: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ) = QuickstartCase(title, path, key, body, headers) { response ->
        firstResponses.putIfAbsent(callId(path, headers), response.body)
        if (response.status == HTTP_OK) null else "status ${response.status}: ${response.body}"
    }

    /** Repeats the same call; the response must equal the first one because the service must not execute it twice. */
    fun repeated(
        title: String,
        path: String,
        key: String,
        body: String,
        headers: Map<String, String>,
    ) = QuickstartCase(title, path, key, body, headers) { response ->
        when {
            response.status != HTTP_OK -> "status ${response.status}: ${response.body}"
            response.body !=
                firstResponses[
                    callId(
                        path,
                        headers,
                    ),
                ]
            -> "the repeated call got a different response: ${response.body}"
            else -> null
        }
    }

    /** Identifies a call and its repeats. */
    private fun callId(
        path: String,
        headers: Map<String, String>,
    ) = path + headers["Idempotency-Key"]

    private companion object {
        const val HTTP_OK = 200
    }
}
