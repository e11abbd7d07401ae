package io.tarragonport.api.gateway

/** A part of a prompt; equal ids mean equal content. */
data class PromptPart(
    val id: String,
    val tokens: Int,
)
