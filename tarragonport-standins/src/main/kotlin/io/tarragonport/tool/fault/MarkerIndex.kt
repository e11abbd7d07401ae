package io.tarragonport.tool.fault

/** Index of the request markers in the bodies that backend servers received. */
internal class MarkerIndex(
    bodies: List<String>,
) {
    private val markers: Set<String> = bodies.flatMap { body -> MARKER.findAll(body).map { it.value } }.toSet()

    fun contains(marker: String): Boolean = marker in markers

    private companion object {
        /** `m-SEED-NUMBER`, where the seed may be negative. */
        val MARKER = Regex("""m--?\d+-\d+""")
    }
}
