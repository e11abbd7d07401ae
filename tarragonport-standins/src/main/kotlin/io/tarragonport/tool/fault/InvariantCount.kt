package io.tarragonport.tool.fault

/** Counts the checks of one invariant and its breaches. Thread-safe. */
class InvariantCount(
    val name: String,
) {
    private val details = mutableListOf<String>()

    var checks = 0
        private set

    var breaches = 0
        private set

    /** Counts one check; it is a breach if [holds] is false. */
    @Synchronized
    fun observe(
        holds: Boolean,
        detail: () -> String = { "" },
    ) {
        checks++
        if (!holds) {
            breaches++
            if (details.size < MAXIMUM_DETAILS) details += detail()
        }
    }

    /** True if the invariant was checked at least once and never breached. */
    val passed: Boolean @Synchronized get() = checks > 0 && breaches == 0

    /** The result for the report: a line with the counts, then details of the first breaches. */
    @Synchronized
    fun lines(): List<String> {
        val verdict =
            if (passed) {
                "ok"
            } else if (breaches > 0) {
                "BREACHED"
            } else {
                "NOT CHECKED"
            }
        return listOf("$name: $checks checks, $breaches breaches, $verdict") + details.map { "    $it" }
    }

    private companion object {
        const val MAXIMUM_DETAILS = 3
    }
}
