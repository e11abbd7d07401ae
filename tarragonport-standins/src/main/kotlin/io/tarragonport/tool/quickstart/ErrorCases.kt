package io.tarragonport.tool.quickstart

/** Requests that must be refused without running. */
internal object RefusalCases {
    /** A refusal with [status], error kind [kind] and `ran` no. */
    fun refused(
        title: String,
        status: Int,
        kind: String,
        path: String,
        key: String?,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ) = QuickstartCase(title, path, key, body, headers) { answer ->
        val problems =
            listOfNotNull(
                "status ${answer.status}".takeIf { answer.status != status },
                "kind is not $kind".takeIf { !answer.body.contains("\"$kind\"") },
                "ran is not no".takeIf { !answer.body.contains("\"ran\":\"no\"") },
            )
        if (problems.isEmpty()) null else problems.joinToString() + ": " + answer.body
    }
}
