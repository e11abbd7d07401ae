package io.tarragonport.tool.load

import io.tarragonport.api.backend.EngineMessage
import io.tarragonport.standin.engine.ExpectedAnswer
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/**
 * Sends requests at a fixed rate on both paths in the same run, whatever the answers take (open loop), and checks each
 * answer against [ExpectedAnswer].
 */
class LoadRun(
    private val options: LoadOptions,
) {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Warms up, measures and reports. */
    fun run(): LoadTestReport {
        phase(paths(), options.warmUp, "w")
        val (direct, daemon) = paths()
        val figures = ProcessFigures(options.daemonPid)
        val cpuBefore = figures.cpuSeconds()
        val resident = phase(listOf(direct, daemon), options.seconds, "m")
        val cpu = figures.cpuSeconds() - cpuBefore
        val directReport = PathReport.of(direct)
        val daemonReport = PathReport.of(daemon)
        return LoadTestReport(
            rate = options.rate,
            seconds = options.seconds,
            direct = directReport,
            daemon = daemonReport,
            addedP50 = daemonReport.firstTokenP50 - directReport.firstTokenP50,
            addedP99 = daemonReport.firstTokenP99 - directReport.firstTokenP99,
            daemonResidentMb = resident,
            daemonCpuPercent = cpu / options.seconds * PERCENT,
        )
    }

    private fun paths(): List<LoadPath> =
        listOf(
            LoadPath(options.engines.split(','), key = null),
            LoadPath(listOf(options.daemon), options.key),
        )

    /** Sends for [seconds] and waits for the last answer; returns the daemon's highest resident memory. */
    private fun phase(
        paths: List<LoadPath>,
        seconds: Int,
        label: String,
    ): Double {
        val total = (options.rate * seconds).toInt()
        val interval = (NANOS / options.rate).toLong()
        val start = System.nanoTime() + START_DELAY_NANOS
        val figures = ProcessFigures(options.daemonPid)
        var resident = 0.0
        val answers = ArrayList<CompletableFuture<Unit>>(total * paths.size)
        for (number in 0 until total) {
            paths.forEachIndexed { index, path ->
                val due = start + number * interval + index * interval / paths.size
                waitUntil(due)
                answers += send(path, "$label$number-$index", number, due)
            }
            if (number % options.rate.toInt() == 0) resident = maxOf(resident, figures.residentMb())
        }
        CompletableFuture.allOf(*answers.toTypedArray()).get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return maxOf(resident, figures.residentMb())
    }

    private fun waitUntil(due: Long) {
        while (true) {
            val left = due - System.nanoTime()
            if (left <= 0) return
            LockSupport.parkNanos(left)
        }
    }

    private fun send(
        path: LoadPath,
        id: String,
        number: Int,
        due: Long,
    ): CompletableFuture<Unit> {
        val prompt = "$id [tokens=${options.tokens}]"
        val timer = StreamTimer()
        return http
            .sendAsync(request(path, id, prompt, number), HttpResponse.BodyHandlers.fromLineSubscriber(timer))
            .handle { _, _ -> record(path, prompt, timer, due) }
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
                .timeout(Duration.ofSeconds(ANSWER_TIMEOUT_SECONDS))
                .POST(HttpRequest.BodyPublishers.ofString(body))
        if (path.key != null) request.header("Authorization", "Bearer ${path.key}")
        return request.build()
    }

    private fun record(
        path: LoadPath,
        prompt: String,
        timer: StreamTimer,
        due: Long,
    ) {
        val end = System.nanoTime()
        val expected = ExpectedAnswer.text(options.model, listOf(EngineMessage("user", prompt)))
        if (timer.text() != expected) {
            path.wrong.incrementAndGet()
            return
        }
        path.correct.incrementAndGet()
        path.firstToken.recordValue(microseconds(timer.firstTokenNanos - due))
        path.whole.recordValue(microseconds(end - due))
    }

    private fun microseconds(nanos: Long): Long =
        (nanos / NANOS_PER_MICROSECOND).coerceIn(0, LoadPath.HIGHEST_MICROSECONDS)

    private companion object {
        const val NANOS = 1e9
        const val NANOS_PER_MICROSECOND = 1_000L
        const val START_DELAY_NANOS = 100_000_000L
        const val ANSWER_TIMEOUT_SECONDS = 60L
        const val PERCENT = 100.0
    }
}
