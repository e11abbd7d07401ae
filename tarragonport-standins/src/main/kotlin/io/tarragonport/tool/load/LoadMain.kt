package io.tarragonport.tool.load

import io.tarragonport.tool.ToolArguments
import kotlinx.serialization.json.Json
import kotlin.system.exitProcess

/** Measures the latency that one daemon adds to requests and prints a [LoadTestReport] as JSON. */
object LoadMain {
    private val json = Json { prettyPrint = true }

    @JvmStatic
    fun main(arguments: Array<String>) {
        val options = ToolArguments.parse(LoadOptions(), arguments)
        val report = LoadRun(options).run()
        println(json.encodeToString(LoadTestReport.serializer(), report))
        exitProcess(if (report.direct.wrong + report.daemon.wrong == 0) 0 else 1)
    }
}
