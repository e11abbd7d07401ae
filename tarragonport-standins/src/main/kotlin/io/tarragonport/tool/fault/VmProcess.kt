package io.tarragonport.tool.fault

import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark

/**
 * One daemon process of the fault run.
 *
 * [disturbances] are the spans in which the VM was killed, frozen or cut off from the platform; invariants that need an
 * undisturbed VM look at them.
 */
class VmProcess(
    val id: String,
    val callerPort: Int,
    val link: LoopbackLink,
    private val settings: File,
    private val output: File,
    private val command: List<String>,
) {
    private var process: Process? = null

    private val log = DisturbanceLog()

    val disturbances: List<Disturbance> get() = log.all
    val address: String get() = "127.0.0.1:$callerPort"
    val alive: Boolean get() = process?.isAlive == true

    fun start() {
        process =
            ProcessBuilder(command + listOf("--settings", settings.path))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start()
    }

    /** Kills the process without warning. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Asks for a graceful stop and waits for it; returns the exit status, null if it did not end in time. */
    fun stop(limitSeconds: Long): Int? {
        val running = process ?: return null
        running.destroy()
        return if (running.waitFor(limitSeconds, TimeUnit.SECONDS)) running.exitValue() else null
    }

    fun freeze() = signal("-STOP")

    fun resume() = signal("-CONT")

    /** Tells the process that its settings have changed. */
    fun hangUp() = signal("-HUP")

    /** Notes that the VM is disturbed from now until the returned span is ended. */
    fun disturb(kind: String): Disturbance = log.begin(kind)

    /** True if a disturbance of one of [kinds], or of any kind if it is null, overlaps the span from [from] to now. */
    fun disturbedSince(
        from: ComparableTimeMark,
        kinds: Set<String>? = null,
    ): Boolean = log.anySince(from, kinds)

    private fun signal(name: String) {
        val running = process ?: return
        if (running.isAlive) {
            ProcessBuilder("kill", name, running.pid().toString()).start().waitFor()
        }
    }
}
