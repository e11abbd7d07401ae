package io.tarragonport.standin.engine

/** One step of an engine stand-in's stream. */
sealed interface ChunkStep {
    /** Writes the chunk of one token. */
    data class Write(
        val id: String,
        val tokenIndex: Int,
        val text: String,
    ) : ChunkStep

    /** Closes the connection before the response is complete. */
    data object Cut : ChunkStep

    /** Crashes the engine. */
    data object Crash : ChunkStep

    /** Stops sending but keeps the connection open. */
    data object Stall : ChunkStep
}
