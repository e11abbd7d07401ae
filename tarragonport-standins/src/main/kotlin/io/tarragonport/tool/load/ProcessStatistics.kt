package io.tarragonport.tool.load

import java.io.File

/** Reads the memory and CPU time of the process [pid] from `/proc`. */
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
    fun cpuSeconds(): Double = cpuSeconds(File("/proc/$pid/stat"))

    /** CPU time used so far by the threads whose names start with [name], in seconds. */
    fun cpuSeconds(name: String): Double =
        File("/proc/$pid/task")
            .listFiles()
            .orEmpty()
            .filter { File(it, "comm").readText().startsWith(name) }
            .sumOf { cpuSeconds(File(it, "stat")) }

    private fun cpuSeconds(statistics: File): Double {
        val fields = statistics.readText().substringAfterLast(") ").split(' ')
        return (fields[USER_TICKS_FIELD].toLong() + fields[SYSTEM_TICKS_FIELD].toLong()) / TICKS_PER_SECOND
    }

    private companion object {
        const val KILOBYTES_PER_MB = 1024.0

        /** Indices of the fields after the process name in `/proc/PID/stat`; the kernel counts 100 ticks per second. */
        const val USER_TICKS_FIELD = 11
        const val SYSTEM_TICKS_FIELD = 12
        const val TICKS_PER_SECOND = 100.0
    }
}
