package io.tarragonport.tool.soak

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.standin.fleet.DutyCall
import kotlinx.serialization.json.jsonObject

/** Checks the calls that only a holder of duties may make, in the order in which the platform got them. */
class DutyCheck(
    private val invariants: SoakInvariants,
) {
    fun check(calls: List<DutyCall>) {
        checkUsage(calls)
        checkFencing(calls)
    }

    private fun checkUsage(calls: List<DutyCall>) =
        calls
            .filter { it.path == "/usage" }
            .map { WireJson.parseToJsonElement(it.body).jsonObject }
            .groupBy({ it["window"].toString() }, { it["counts"] })
            .forEach { (window, counts) ->
                invariants.usage.observe(counts.distinct().size == 1) { "window $window: ${counts.distinct()}" }
            }

    private fun checkFencing(calls: List<DutyCall>) {
        calls.zipWithNext { earlier, later ->
            invariants.fencing.observe(earlier.fencing <= later.fencing) {
                "${earlier.fencing} of ${earlier.holder}, then ${later.fencing} of ${later.holder}"
            }
        }
        calls.groupBy { it.fencing }.forEach { (number, group) ->
            val holders = group.map { it.holder }.distinct()
            invariants.fencing.observe(holders.size == 1) { "$number was used by $holders" }
        }
    }
}
