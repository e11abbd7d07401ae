package io.tarragonport.tool.load

import org.kohsuke.args4j.Option

/** Command-line options of the load test. */
class LoadOptions {
    @Option(
        name = "--engines",
        usage = "addresses of the engines for the direct path, separated by commas",
        required = true,
    )
    var engines = ""

    @Option(name = "--daemon", usage = "caller address of the daemon, http://ip:port", required = true)
    var daemon = ""

    @Option(
        name = "--daemon-pid",
        usage = "process ID of the daemon, whose memory and CPU time are measured",
        required = true,
    )
    var daemonPid = 0L

    @Option(name = "--key", usage = "API key of the caller", required = true)
    var key = ""

    @Option(name = "--model", usage = "model to request", required = true)
    var model = ""

    @Option(name = "--rate", usage = "requests per second on each path")
    var rate = 500.0

    @Option(name = "--seconds", usage = "duration of the measurement in seconds")
    var seconds = 30

    @Option(name = "--warm-up", usage = "duration of the warm-up before the measurement in seconds")
    var warmUp = 10

    @Option(name = "--tokens", usage = "number of tokens in each response")
    var tokens = 20
}
