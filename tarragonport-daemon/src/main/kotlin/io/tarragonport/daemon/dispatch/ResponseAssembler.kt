package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.EngineEvent
import io.tarragonport.api.backend.ResumePosition
import io.tarragonport.api.id.RequestId

/**
 * Validates the chunks of an engine's stream (request id, token order, token count) and assembles the response across
 * attempts on several engines. Confined to one coroutine.
 */
class ResponseAssembler {
    private val received = ArrayList<String>()
    private var expectedId = RequestId("")

    /** Number of tokens received so far, from all engines. */
    val tokens: Int get() = received.size

    /** The response text so far. */
    fun text(): String = received.joinToString("")

    /** Position at which the next engine resumes; null if no token was received. */
    fun resumePosition(): ResumePosition? = if (received.isEmpty()) null else ResumePosition(text(), received.size)

    /** Accepts only chunks of request [id] from now on. */
    fun expect(id: RequestId) {
        expectedId = id
    }

    /** Discards the received tokens; the next engine generates the response from its start. */
    fun restart() = received.clear()

    /** Validates one token and appends it to the response if the result is [Verdict.Deliver]. */
    fun token(event: EngineEvent.Token): Verdict =
        when {
            event.requestId != expectedId -> Verdict.Violation("chunk of request ${event.requestId}")
            event.tokenIndex > received.size ->
                Verdict.Violation("token ${event.tokenIndex} where ${received.size} was due")
            event.tokenIndex < received.size -> repeated(event)
            else -> {
                received.add(event.text)
                Verdict.Deliver
            }
        }

    private fun repeated(event: EngineEvent.Token): Verdict =
        if (event.tokenIndex >= 0 && received[event.tokenIndex] == event.text) {
            Verdict.Drop
        } else {
            Verdict.Violation("token ${event.tokenIndex} came twice with different text")
        }

    /** Validates the final chunk. */
    fun finished(event: EngineEvent.Finished): Verdict =
        when {
            event.requestId != expectedId -> Verdict.Violation("final chunk of request ${event.requestId}")
            event.generatedTokens != received.size ->
                Verdict.Violation("engine counts ${event.generatedTokens} tokens, ${received.size} arrived")
            else -> Verdict.Deliver
        }
}
