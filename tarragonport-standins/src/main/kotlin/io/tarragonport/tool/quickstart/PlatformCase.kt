package io.tarragonport.tool.quickstart

/** One request over a gateway with the status and a part of the body that its answer must have. */
internal class PlatformCase(
    val title: String,
    val method: String,
    val path: String,
    val key: String?,
    val status: Int,
    val text: String,
)
