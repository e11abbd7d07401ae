package io.tarragonport.client

/** Failure of a command; [lines] are printed to standard error, [status] is the exit status. */
data class ClientError(
    val status: ExitStatus,
    val lines: List<String>,
) {
    constructor(status: ExitStatus, line: String) : this(status, listOf(line))
}
