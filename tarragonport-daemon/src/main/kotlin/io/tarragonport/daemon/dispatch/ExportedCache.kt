package io.tarragonport.daemon.dispatch

import io.tarragonport.api.backend.CacheExport

/** The exported KV cache of a stream that is migrated from the server at [source]. */
data class ExportedCache(
    val source: String,
    val export: CacheExport,
)
