package io.tarragonport.api.gateway

/** A part of a prompt; parts with equal ids have equal content. */
data class PromptPart(
    val id: String,
    val tokens: Int,
)
