package io.tarragonport.tool.quickstart

import java.util.UUID

/** Test requests for the two example deployments, in the order in which they are sent. */
internal object DeploymentCases {
    /**
     * Test cases of the deployment [name], or null if it is unknown. [runId] makes the idempotency keys of this run
     * different from those of earlier runs.
     */
    fun cases(
        name: String,
        runId: String = UUID.randomUUID().toString(),
    ): List<QuickstartCase>? =
        when (name) {
            "chimeneas" -> chimeneas(runId)
            "orahovica" -> orahovica(runId)
            else -> null
        }

    private fun chimeneas(runId: String): List<QuickstartCase> {
        val services = ServiceCases()
        val deposit = """{"organisation":"cusco","amount":"120.00"}"""
        val headers = mapOf("Idempotency-Key" to "deposit-$runId")
        val depositsPath = "/v1/services/ledger/deposits"
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
            services.executedOnce("deposit", depositsPath, "example-key-cusco-deposits", deposit, headers),
            services.repeated("deposit, repeated", depositsPath, "example-key-cusco-deposits", deposit, headers),
            ErrorCases.rejected(
                "deposit without idempotency key",
                400,
                "idempotency_key_missing",
                depositsPath,
                "example-key-cusco-deposits",
                deposit,
            ),
            ErrorCases.rejected("wrong key", 401, "key_unknown", "/v1/chat/completions", "no-such-key", CHAT_BODY),
            ErrorCases.rejected("body that is not JSON", 400, "invalid_request", CHATS, "example-key-lima-desk", "{"),
            ErrorCases.rejected("unknown model", 404, "unknown_model", CHATS, "example-key-lima-desk", UNKNOWN_MODEL),
        )
    }

    private fun orahovica(runId: String): List<QuickstartCase> {
        val services = ServiceCases()
        val command = """{"gate":4,"action":"reject"}"""
        val headers = mapOf("Idempotency-Key" to "gate-$runId", "X-Request-Class" to "gate-command")
        val gatePath = "/v1/services/line-control/gates/4"
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
            services.executedOnce("gate command", gatePath, "example-key-line-one", command, headers),
            services.repeated("gate command, repeated", gatePath, "example-key-line-one", command, headers),
        )
    }

    private const val CHATS = "/v1/chat/completions"
    private const val CHAT_BODY = """{"model":"quoting","messages":[{"role":"user","content":"hello"}]}"""
    private const val UNKNOWN_MODEL = """{"model":"none","messages":[{"role":"user","content":"hello"}]}"""
}
