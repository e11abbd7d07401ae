package io.tarragonport.tool.quickstart

import java.util.UUID

/** Test requests of both example deployments in the order in which they are sent. */
internal object Deployments {
    /** Test cases of the deployment [name], null if unknown; [run] makes the idempotency keys unique to this run. */
    fun cases(
        name: String,
        run: String = UUID.randomUUID().toString(),
    ): List<QuickstartCase>? =
        when (name) {
            "chimeneas" -> chimeneas(run)
            "orahovica" -> orahovica(run)
            else -> null
        }

    private fun chimeneas(run: String): List<QuickstartCase> {
        val services = ServiceCases()
        val deposit = """{"organisation":"cusco","amount":"120.00"}"""
        val once = mapOf("Idempotency-Key" to "deposit-$run")
        val deposits = "/v1/services/ledger/deposits"
        return listOf(
            ChatCases.streaming("quick chat", "quoting", "example-key-lima-desk", "Which liner fits a 150 mm flue?"),
            ChatCases.nonStreaming(
                "price lookup",
                "quoting",
                "example-key-trujillo-catalog",
                "Price of a 6 m flexible liner?",
            ),
            ChatCases.streaming(
                "liner takeoff",
                "quoting",
                "example-key-arequipa-takeoffs",
                "Takeoff for two flues [tokens=120]",
            ),
            ChatCases.nonStreaming(
                "drawing review",
                "quoting",
                "example-key-arequipa-takeoffs",
                "Review drawing 14 [tokens=200]",
                "drawing-review",
            ),
            services.executedOnce("deposit", deposits, "example-key-cusco-deposits", deposit, once),
            services.repeated("deposit, repeated", deposits, "example-key-cusco-deposits", deposit, once),
            ErrorCases.rejected(
                "deposit without idempotency key",
                400,
                "idempotency_key_missing",
                deposits,
                "example-key-cusco-deposits",
                deposit,
            ),
            ErrorCases.rejected("wrong key", 401, "key_unknown", "/v1/chat/completions", "no-such-key", CHAT),
            ErrorCases.rejected("body that is not JSON", 400, "invalid_request", CHATS, "example-key-lima-desk", "{"),
            ErrorCases.rejected("unknown model", 404, "unknown_model", CHATS, "example-key-lima-desk", UNKNOWN_MODEL),
        )
    }

    private fun orahovica(run: String): List<QuickstartCase> {
        val services = ServiceCases()
        val command = """{"gate":4,"action":"reject"}"""
        val once = mapOf("Idempotency-Key" to "gate-$run", "X-Request-Class" to "gate-command")
        val gates = "/v1/services/line-control/gates/4"
        return listOf(
            ChatCases.nonStreaming(
                "inspection question",
                "sorting",
                "example-key-inspectors",
                "Why was batch 77 rejected?",
            ),
            ChatCases.streaming("handover note", "sorting", "example-key-shift-notes", "Draft the note [tokens=90]"),
            services.executedOnce(
                "belt stop",
                "/v1/services/line-control/belts/2/stop",
                "example-key-line-one",
                """{"reason":"foreign object"}""",
            ),
            services.executedOnce("gate command", gates, "example-key-line-one", command, once),
            services.repeated("gate command, repeated", gates, "example-key-line-one", command, once),
        )
    }

    private const val CHATS = "/v1/chat/completions"
    private const val CHAT = """{"model":"quoting","messages":[{"role":"user","content":"hello"}]}"""
    private const val UNKNOWN_MODEL = """{"model":"none","messages":[{"role":"user","content":"hello"}]}"""
}
