package io.tarragonport.core.intent

import kotlinx.serialization.Serializable

/** Content of an answer object; [attempt] identifies the record to which the answer belongs. */
@Serializable
data class AnswerObject(
    val attempt: String,
    val answer: IntentAnswer,
)
