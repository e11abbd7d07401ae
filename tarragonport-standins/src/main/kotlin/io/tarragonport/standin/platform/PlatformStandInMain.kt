package io.tarragonport.standin.platform

import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.tool.ToolArguments
import kotlinx.serialization.DeserializationStrategy
import org.kohsuke.args4j.Option
import java.io.File

/** Command line of the platform stand-in. */
class PlatformStandInMain {
    @Option(name = "--port", usage = "port on 127.0.0.1; 0 selects a free port")
    private var port = 0

    @Option(name = "--inventory", usage = "JSON file with the servers and spare servers")
    private var inventory: File? = null

    @Option(name = "--vms", usage = "JSON file with the VM list")
    private var vms: File? = null

    private fun run() {
        val standIn =
            PlatformStandIn(
                inventory = inventory?.let { decode(it, InventoryFile.serializer()) } ?: InventoryFile(),
                vms = vms?.let { decode(it, VmsFile.serializer()) } ?: VmsFile(),
            )
        val boundPort = standIn.start(port)
        println("listening on 127.0.0.1:$boundPort")
        Thread.currentThread().join()
    }

    private fun <T> decode(
        file: File,
        deserializer: DeserializationStrategy<T>,
    ): T = ConfigurationJson.decodeFromString(deserializer, file.readText())

    companion object {
        @JvmStatic
        fun main(arguments: Array<String>) {
            val command = ToolArguments.parse(PlatformStandInMain(), arguments)
            command.run()
        }
    }
}
