package io.tarragonport.tool.load

import java.io.File

/** Memory and processor time of a process, read from `/proc`. */
class ProcessFigures(
    private val pid: Long,
) {
    /** Resident memory in megabytes. */
    fun residentMb(): Double =
        File("/proc/$pid/status")
            .readLines()
            .first { it.startsWith("VmRSS:") }
            .filter(Char::isDigit)
            .toDouble() / KILOBYTES

    /** Processor time used so far in seconds. */
    fun cpuSeconds(): Double {
        val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
        return (fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()) / TICKS_PER_SECOND
    }

    private companion object {
        const val KILOBYTES = 1024.0

        /** Positions behind the process name, and the kernel's fixed unit. */
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
        const val TICKS_PER_SECOND = 100.0
    }
}
