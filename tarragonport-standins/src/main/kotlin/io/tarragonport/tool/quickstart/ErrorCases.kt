package io.tarragonport.tool.quickstart

/** Requests that must be rejected without being executed. */
internal object ErrorCases {
    /** Expects an error response with [status], error kind [kind] and `"ran": "no"`. */
    fun rejected(
        title: String,
        status: Int,
        kind: String,
        path: String,
        key: String?,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ) = QuickstartCase(title, path, key, body, headers) { response ->
        val problems =
            listOfNotNull(
                "status ${response.status}".takeIf { response.status != status },
                "error kind is not $kind".takeIf { !response.body.contains("\"$kind\"") },
                "\"ran\" is not \"no\"".takeIf { !response.body.contains("\"ran\":\"no\"") },
            )
        if (problems.isEmpty()) null else problems.joinToString() + ": " + response.body
    }
}
