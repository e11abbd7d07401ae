package io.tarragonport.tool.quickstart

/**
 * One request that the quickstart sends.
 *
 * [check] returns a description of what is incorrect in the response, or null if the response is correct.
 */
class QuickstartCase(
    val title: String,
    val path: String,
    val key: String?,
    val body: String,
    val headers: Map<String, String> = emptyMap(),
    val check: (QuickstartResponse) -> String?,
)
