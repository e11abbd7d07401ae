package io.tarragonport.client.command

import io.tarragonport.client.ClientContext
import java.io.PrintStream

/** What the process offers to commands; [connect] opens the platform's address only for commands that need it. */
interface Surroundings {
    val output: PrintStream

    fun connect(
        platformUrl: String,
        operator: String,
    ): ClientContext
}
