package io.tarragonport.tool.load

import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.standin.engine.ExpectedCompletion
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/**
 * Sends requests at a fixed rate on both paths and compares each response with [ExpectedCompletion].
 *
 * Both paths are measured in the same run, so that a disturbance of the machine affects both. The load is open loop:
 * the rate does not depend on the response times.
 */
class LoadRun(
    private val options: LoadOptions,
) {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Runs the warm-up and the measurement and returns the report. */
    fun run(): LoadTestReport {
        runPhase(createPaths(), options.warmUp, "w")
        val (direct, daemon) = createPaths()
        val process = ProcessStatistics(options.daemonPid)
        val cpuSecondsBefore = process.cpuSeconds()
        val peakResidentMb = runPhase(listOf(direct, daemon), options.seconds, "m")
        val cpuSeconds = process.cpuSeconds() - cpuSecondsBefore
        val directReport = PathReport.of(direct)
        val daemonReport = PathReport.of(daemon)
        return LoadTestReport(
            rate = options.rate,
            seconds = options.seconds,
            direct = directReport,
            daemon = daemonReport,
            addedP50 = daemonReport.firstTokenP50 - directReport.firstTokenP50,
            addedP99 = daemonReport.firstTokenP99 - directReport.firstTokenP99,
            daemonResidentMb = peakResidentMb,
            daemonCpuPercent = cpuSeconds / options.seconds * PERCENT,
        )
    }

    private fun createPaths(): List<LoadPath> =
        listOf(
            LoadPath(options.engines.split(','), key = null),
            LoadPath(listOf(options.daemon), options.key),
        )

    /**
     * Sends requests on all [paths] for [seconds], waits for all responses and returns the daemon's peak resident
     * memory in MB. The requests of the paths are spread evenly over each interval.
     */
    private fun runPhase(
        paths: List<LoadPath>,
        seconds: Int,
        idPrefix: String,
    ): Double {
        val requestsPerPath = (options.rate * seconds).toInt()
        val interval = (NANOS_PER_SECOND / options.rate).toLong()
        val start = System.nanoTime() + START_DELAY_NANOS
        val process = ProcessStatistics(options.daemonPid)
        var peakResidentMb = 0.0
        val responses = ArrayList<CompletableFuture<Unit>>(requestsPerPath * paths.size)
        for (number in 0 until requestsPerPath) {
            paths.forEachIndexed { index, path ->
                val scheduledAt = start + number * interval + index * interval / paths.size
                waitUntil(scheduledAt)
                responses += send(path, "$idPrefix$number-$index", number, scheduledAt)
            }
            if (number % options.rate.toInt() == 0) peakResidentMb = maxOf(peakResidentMb, process.residentMb())
        }
        CompletableFuture.allOf(*responses.toTypedArray()).get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return maxOf(peakResidentMb, process.residentMb())
    }

    private fun waitUntil(scheduledAt: Long) {
        while (true) {
            val remaining = scheduledAt - System.nanoTime()
            if (remaining <= 0) return
            LockSupport.parkNanos(remaining)
        }
    }

    private fun send(
        path: LoadPath,
        id: String,
        number: Int,
        scheduledAt: Long,
    ): CompletableFuture<Unit> {
        val prompt = "$id [tokens=${options.tokens}]"
        val timer = StreamTimer()
        return http
            .sendAsync(request(path, id, prompt, number), HttpResponse.BodyHandlers.fromLineSubscriber(timer))
            .handle { _, _ -> record(path, prompt, timer, scheduledAt) }
    }

    private fun request(
        path: LoadPath,
        id: String,
        prompt: String,
        number: Int,
    ): HttpRequest {
        val address = path.addresses[number % path.addresses.size]
        val body =
            """{"model":"${options.model}","stream":true,"request_id":"direct-$id","priority":1,""" +
                """"messages":[{"role":"user","content":"$prompt"}]}"""
        val request =
            HttpRequest
                .newBuilder(URI("$address/v1/chat/completions"))
                .timeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS))
                .POST(HttpRequest.BodyPublishers.ofString(body))
        if (path.key != null) request.header("Authorization", "Bearer ${path.key}")
        return request.build()
    }

    private fun record(
        path: LoadPath,
        prompt: String,
        timer: StreamTimer,
        scheduledAt: Long,
    ) {
        val end = System.nanoTime()
        val expected = ExpectedCompletion.text(options.model, listOf(EngineMessage("user", prompt)))
        if (timer.text() != expected) {
            path.wrong.incrementAndGet()
            return
        }
        path.correct.incrementAndGet()
        path.firstToken.recordValue(microseconds(timer.firstTokenNanos - scheduledAt))
        path.fullResponse.recordValue(microseconds(end - scheduledAt))
    }

    private fun microseconds(nanos: Long): Long =
        (nanos / NANOS_PER_MICROSECOND).coerceIn(0, LoadPath.HIGHEST_MICROSECONDS)

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MICROSECOND = 1_000L
        const val START_DELAY_NANOS = 100_000_000L
        const val RESPONSE_TIMEOUT_SECONDS = 60L
        const val PERCENT = 100.0
    }
}
