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
        FleetMeasurements(options.seed).all() +
            ConfigurationMeasurements().all() +
            LimitMeasurements(options.seed).all() +
            UsageWindowMeasurements().all() +
            PlacementMeasurements().all() +
            MessageMeasurements().all()
    println(if (options.json) ProbeReport.json(series) else ProbeReport.text(series))
    exitProcess(if (series.any { it.withinBound == false }) 1 else 0)
}

private data class ProbeOptions(
    val json: Boolean,
    val seed: Int,
)

private fun parse(arguments: List<String>): ProbeOptions? {
    val json = "--json" in arguments
    val rest = arguments - "--json"
    val seed = if (rest.isEmpty()) 1 else rest.getOrNull(1)?.toIntOrNull()
    val valid = rest.isEmpty() || (rest.size == 2 && rest.first() == "--seed")
    return if (valid && seed != null) ProbeOptions(json, seed) else null
}
