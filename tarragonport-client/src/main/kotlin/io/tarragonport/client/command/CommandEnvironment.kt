package io.tarragonport.client.command

import io.tarragonport.client.ClientContext
import java.io.PrintStream

/** Output and connections for commands; only commands that need the platform call [connect]. */
interface CommandEnvironment {
    val output: PrintStream

    fun connect(
        platformUrl: String,
        operator: String,
    ): ClientContext
}
