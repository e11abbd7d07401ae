package io.tarragonport.tool.bench

/** Compares the work served for each organisation with its max-min fair share of the total. */
object FairShares {
    /**
     * Service of the worst-served organisation relative to the mean, where service is the served work divided by the
     * organisation's max-min fair share. One means that every organisation received its share, whatever its demand.
     */
    fun worstRelativeService(
        demand: Map<String, Double>,
        served: Map<String, Double>,
    ): Double {
        val shares = maxMin(demand, served.values.sum())
        val service =
            demand.keys
                .filter { shares.getValue(it) > 0.0 }
                .map { (served[it] ?: 0.0) / shares.getValue(it) }
        if (service.isEmpty()) return 1.0
        return service.min() / service.average()
    }

    /** Divides [total] so that no share exceeds its demand and all shares below their demand are equal. */
    fun maxMin(
        demand: Map<String, Double>,
        total: Double,
    ): Map<String, Double> {
        val shares = HashMap<String, Double>()
        var remaining = total
        demand.entries.sortedBy { it.value }.forEachIndexed { index, (organisation, demanded) ->
            val share = minOf(demanded, remaining / (demand.size - index))
            shares[organisation] = share
            remaining -= share
        }
        return shares
    }
}
