package io.tarragonport.tool.load

import java.io.File

/** Memory and CPU time of a process, read from `/proc`. */
class ProcessStatistics(
    private val pid: Long,
) {
    /** Resident memory in megabytes. */
    fun residentMb(): Double =
        File("/proc/$pid/status")
            .readLines()
            .first { it.startsWith("VmRSS:") }
            .filter(Char::isDigit)
            .toDouble() / KILOBYTES_PER_MB

    /** CPU time used so far in seconds. */
    fun cpuSeconds(): Double {
        val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
        return (fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()) / TICKS_PER_SECOND
    }

    private companion object {
        const val KILOBYTES_PER_MB = 1024.0

        /** Indices of the fields after the process name in `/proc/PID/stat`; the kernel counts 100 ticks per second. */
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
        const val TICKS_PER_SECOND = 100.0
    }
}
