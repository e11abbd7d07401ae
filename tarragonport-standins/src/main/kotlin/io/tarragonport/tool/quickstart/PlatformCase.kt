package io.tarragonport.tool.quickstart

/** A request sent through a gateway. Its response must have [expectedStatus] and contain [expectedText] in its body. */
internal class PlatformCase(
    val title: String,
    val method: String,
    val path: String,
    val key: String?,
    val expectedStatus: Int,
    val expectedText: String,
)
