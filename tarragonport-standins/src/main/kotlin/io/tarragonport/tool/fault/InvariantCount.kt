package io.tarragonport.tool.fault

/** Counts the checks of an invariant (occasions) and its breaches. Thread-safe. */
class InvariantCount(
    val name: String,
) {
    private val details = mutableListOf<String>()

    var occasions = 0
        private set

    var breaches = 0
        private set

    /** Counts one check; it is a breach if [holds] is false. */
    @Synchronized
    fun observe(
        holds: Boolean,
        detail: () -> String = { "" },
    ) {
        occasions++
        if (!holds) {
            breaches++
            if (details.size < MAXIMUM_DETAILS) details += detail()
        }
    }

    /** True if the invariant was checked at least once and never breached. */
    val proved: Boolean @Synchronized get() = occasions > 0 && breaches == 0

    @Synchronized
    fun lines(): List<String> {
        val verdict =
            if (proved) {
                "ok"
            } else if (breaches > 0) {
                "BREACHED"
            } else {
                "NOT PROVED"
            }
        return listOf("$name: $occasions occasions, $breaches breaches, $verdict") + details.map { "    $it" }
    }

    private companion object {
        const val MAXIMUM_DETAILS = 3
    }
}
