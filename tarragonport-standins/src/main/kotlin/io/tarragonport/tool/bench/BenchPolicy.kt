package io.tarragonport.tool.bench

import io.tarragonport.api.id.VmId
import io.tarragonport.core.admission.DispatchPolicy
import io.tarragonport.core.admission.TieredDispatch
import io.tarragonport.core.admission.baseline.FirstComeDispatch
import io.tarragonport.core.admission.baseline.LeastOutstandingDispatch
import io.tarragonport.core.admission.baseline.RoundRobinDispatch
import io.tarragonport.core.estimate.LengthEstimator
import io.tarragonport.core.health.CrashHistory
import org.apache.commons.math3.random.Well19937c

/** The dispatch policies that the bench compares; [label] is the value of the option `--policy`. */
enum class BenchPolicy(
    val label: String,
) {
    TARRAGONPORT("tarragonport"),
    ROUND_ROBIN("round-robin"),
    LEAST_OUTSTANDING("least-outstanding"),
    FIRST_COME("first-come"),
    ;

    /**
     * Creates the policy instance of the VM with index [vmIndex]. Only [TARRAGONPORT] uses [seed], [crashHistory] and
     * [estimator].
     */
    fun create(
        vmIndex: Int,
        seed: Long,
        clock: VirtualClock,
        crashHistory: CrashHistory,
        estimator: LengthEstimator,
    ): DispatchPolicy =
        when (this) {
            TARRAGONPORT ->
                TieredDispatch(
                    VmId("vm-$vmIndex"),
                    clock,
                    Well19937c(seed * VM_COUNT + vmIndex),
                    crashHistory,
                    estimator,
                )
            ROUND_ROBIN -> RoundRobinDispatch(clock)
            LEAST_OUTSTANDING -> LeastOutstandingDispatch(clock)
            FIRST_COME -> FirstComeDispatch(clock)
        }

    companion object {
        /** Number of VMs that dispatch to the pool. */
        const val VM_COUNT = 7
        val VM_IDS = List(VM_COUNT) { VmId("vm-$it") }

        val BASELINES = listOf(ROUND_ROBIN, LEAST_OUTSTANDING, FIRST_COME)
    }
}
