package io.tarragonport.core.admission

/**
 * Invariant checked at each shed and preemption: no request of a higher tier yields to one of a lower tier. Tier 1 is
 * the highest.
 */
internal object TierInvariant {
    fun checkShed(
        victimTier: Int,
        arrivalTier: Int,
        waitingByTier: Map<Int, Int>,
    ) {
        check(victimTier >= arrivalTier) { "a request of tier $victimTier would be shed for one of tier $arrivalTier" }
        val lower = waitingByTier.filter { (tier, waiting) -> tier > victimTier && waiting > 0 }
        check(lower.isEmpty()) { "a request of tier $victimTier would be shed while tier ${lower.keys} waits" }
    }

    fun checkPreemption(
        victimTier: Int,
        beneficiaryTier: Int,
        eligibleTiers: List<Int>,
    ) {
        check(victimTier > beneficiaryTier) {
            "a request of tier $victimTier would be preempted for one of tier $beneficiaryTier"
        }
        check(
            eligibleTiers.none { it > victimTier },
        ) { "a request of a tier below $victimTier could be preempted instead" }
    }
}
