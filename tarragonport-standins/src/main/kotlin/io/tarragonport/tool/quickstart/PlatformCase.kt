package io.tarragonport.tool.quickstart

/** A request sent through a gateway, with the status and the part of the body that its response must have. */
internal class PlatformCase(
    val title: String,
    val method: String,
    val path: String,
    val key: String?,
    val status: Int,
    val text: String,
)
