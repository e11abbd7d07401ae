package io.tarragonport.tool.soak

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.standin.fleet.DutyCall
import kotlinx.serialization.json.jsonObject

/** Checks the calls that only a duty holder may make, in the order in which the platform received them. */
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
                invariants.usage.observe(counts.distinct().size == 1) {
                    "usage window $window was reported with different counts: ${counts.distinct()}"
                }
            }

    private fun checkFencing(calls: List<DutyCall>) {
        calls.zipWithNext { earlier, later ->
            invariants.fencing.observe(earlier.fencing <= later.fencing) {
                "fencing token ${later.fencing} of ${later.holder} follows ${earlier.fencing} of ${earlier.holder}"
            }
        }
        calls.groupBy { it.fencing }.forEach { (token, tokenCalls) ->
            val holders = tokenCalls.map { it.holder }.distinct()
            invariants.fencing.observe(holders.size == 1) { "fencing token $token was used by several VMs: $holders" }
        }
    }
}
