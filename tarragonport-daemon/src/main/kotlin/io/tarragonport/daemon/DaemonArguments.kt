package io.tarragonport.daemon

import org.kohsuke.args4j.Option

/** Command line of the daemon. */
class DaemonArguments {
    @Option(name = "--settings", metaVar = "FILE", usage = "settings of this process, JSON with comments")
    var settings: String? = null

    @Option(name = "--check", usage = "check the settings and exit")
    var check: Boolean = false

    @Option(name = "--help", aliases = ["-h"], help = true, usage = "show this help")
    var help: Boolean = false
}
