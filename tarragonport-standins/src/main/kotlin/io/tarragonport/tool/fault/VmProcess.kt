package io.tarragonport.tool.fault

import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark

/**
 * One VM of a run: a daemon process and its link to the platform.
 *
 * [disturbances] are the intervals in which the VM was killed, frozen, restarted or disconnected from the platform.
 * Invariants that apply only to undisturbed VMs check them.
 */
class VmProcess(
    val id: String,
    val callerPort: Int,
    val link: LoopbackLink,
    private val settings: File,
    private val logFile: File,
    private val command: List<String>,
) {
    private var process: Process? = null

    private val disturbanceLog = DisturbanceLog()

    val disturbances: List<Disturbance> get() = disturbanceLog.disturbances
    val address: String get() = "127.0.0.1:$callerPort"
    val alive: Boolean get() = process?.isAlive == true

    /** The process id; null before the start. */
    val pid: Long? get() = process?.pid()

    fun start() {
        process =
            ProcessBuilder(command + listOf("--settings", settings.path))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
                .start()
    }

    /** Kills the process without a graceful stop. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Requests a graceful stop and waits for it; returns the exit status, or null after [timeoutSeconds]. */
    fun stop(timeoutSeconds: Long): Int? {
        val running = process ?: return null
        running.destroy()
        return if (running.waitFor(timeoutSeconds, TimeUnit.SECONDS)) running.exitValue() else null
    }

    fun freeze() = signal("-STOP")

    fun resume() = signal("-CONT")

    /** Sends SIGHUP, on which the process reloads its settings. */
    fun reloadSettings() = signal("-HUP")

    /** Records that the VM is disturbed from now until [Disturbance.finish] is called on the result. */
    fun beginDisturbance(kind: String): Disturbance = disturbanceLog.begin(kind)

    /** True if a disturbance of one of [kinds] (null: any kind) overlaps the interval from [from] to now. */
    fun disturbedSince(
        from: ComparableTimeMark,
        kinds: Set<String>? = null,
    ): Boolean = disturbanceLog.anySince(from, kinds)

    private fun signal(name: String) {
        val running = process ?: return
        if (running.isAlive) {
            ProcessBuilder("kill", name, running.pid().toString()).start().waitFor()
        }
    }
}
