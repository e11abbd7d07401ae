package io.tarragonport.client

/** Exit status of the process, as documented in `docs/design.md`. */
enum class ExitStatus(
    val code: Int,
) {
    SUCCESS(0),

    /**
     * The command line was valid but the command failed: a version conflict, an unreachable platform, an unknown key or
     * request.
     */
    FAILURE(1),

    /** Invalid command line or invalid document. */
    INVALID(2),
}
