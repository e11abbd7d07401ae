@file:JvmName("CapacityProbeMain")

package io.tarragonport.tool.capacity

import kotlin.system.exitProcess

/**
 * Measures how control work grows with the fleet and the configuration and compares it with its limits.
 *
 * Usage: `bin/capacity-probe [--json] [--seed N]`. The exit status is 0 if all values are within their limits, 1 if
 * one is not, and 2 after incorrect arguments.
 */
fun main(arguments: Array<String>) {
    val options = parse(arguments.toList())
    if (options == null) {
        System.err.println("usage: capacity-probe [--json] [--seed N]")
        exitProcess(2)
    }
    val series =
        FleetMeasurements(options.seed).measureAll() +
            ConfigurationMeasurements().measureAll() +
            LimitMeasurements(options.seed).measureAll() +
            UsageWindowMeasurements().measureAll() +
            PlacementMeasurements().measureAll() +
            MessageMeasurements().measureAll()
    println(if (options.json) ProbeReport.json(series) else ProbeReport.text(series))
    exitProcess(if (series.any { it.withinBound == false }) 1 else 0)
}

private data class ProbeOptions(
    val json: Boolean,
    val seed: Int,
)

private fun parse(arguments: List<String>): ProbeOptions? {
    val json = "--json" in arguments
    val remaining = arguments - "--json"
    val seed = if (remaining.isEmpty()) 1 else remaining.getOrNull(1)?.toIntOrNull()
    val valid = remaining.isEmpty() || (remaining.size == 2 && remaining.first() == "--seed")
    return if (valid && seed != null) ProbeOptions(json, seed) else null
}
