package io.tarragonport.tool.soak

import kotlin.time.ComparableTimeMark

/** A key with its organisation; [withdrawnAt] is the time at which the store confirmed its withdrawal. */
class SoakKey(
    val value: String,
    val organisation: String,
) {
    @Volatile
    var withdrawnAt: ComparableTimeMark? = null
}
