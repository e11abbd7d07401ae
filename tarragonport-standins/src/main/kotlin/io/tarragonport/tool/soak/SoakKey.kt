package io.tarragonport.tool.soak

import kotlin.time.ComparableTimeMark

/** A key with its organisation; [revokedAt] is when the store confirmed that it was taken away. */
class SoakKey(
    val value: String,
    val organisation: String,
) {
    @Volatile
    var revokedAt: ComparableTimeMark? = null
}
