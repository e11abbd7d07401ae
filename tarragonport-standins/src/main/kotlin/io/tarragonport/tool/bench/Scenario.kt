package io.tarragonport.tool.bench

/** Load pattern and faults of a run. Requests arrive for [ARRIVAL_SECONDS]; all times are virtual seconds. */
enum class Scenario(
    val label: String,
) {
    STEADY("steady"),

    /** For 80 s, quick chats arrive at three times their rate and the other classes at 0.3 times theirs. */
    CHAT_BURST("chat-burst"),

    /** Classes with long outputs arrive at three times their usual share of the requests. */
    LONG_REVIEWS("long-reviews"),

    /** One organisation sends 70% of all requests. */
    ONE_LARGE_ORGANISATION("one-large-organisation"),

    /** One sixth of the servers is six times slower than normal; later another sixth is instead. */
    STRAGGLERS("stragglers"),

    /** Load reports are sent every 4 s and are 4 s old on arrival. */
    STALE_LOAD("stale-load"),

    /** All cheap servers of one failure domain are reclaimed with 5 s of notice and restart 60 s later. */
    DOMAIN_RECLAIM("domain-reclaim"),

    /** One request crashes each server that executes it, and its caller repeats it every 4 s. */
    POISON("poison"),

    /** No cheap servers are available, and ordinary servers replace only half of them. */
    NO_CHEAP_SERVERS("no-cheap-servers"),
    ;

    /** Factor applied to the arrival rate of [traffic] at [seconds]. */
    fun rateFactor(
        traffic: ClassTraffic,
        seconds: Double,
    ): Double =
        when (this) {
            CHAT_BURST ->
                if (seconds !in
                    BURST_START_SECONDS..BURST_END_SECONDS
                ) {
                    1.0
                } else if (traffic.quick) {
                    BURST_FACTOR
                } else {
                    OTHER_CLASSES_FACTOR
                }
            else -> 1.0
        }

    /** Share of [traffic] in all requests, before the shares are normalised to a sum of one. */
    fun requestShare(traffic: ClassTraffic): Double =
        if (this == LONG_REVIEWS && traffic.requestClass.longOutput) traffic.share * LONG_FACTOR else traffic.share

    /** Relative share of organisation [index] of [count] in the traffic. */
    fun organisationWeight(
        index: Int,
        count: Int,
    ): Double =
        when {
            this == ONE_LARGE_ORGANISATION && index == 0 ->
                LARGE_ORGANISATION_SHARE / (1.0 - LARGE_ORGANISATION_SHARE) * (count - 1)
            this == ONE_LARGE_ORGANISATION -> 1.0
            else -> 1.0 / (1.0 + index * ORGANISATION_SKEW)
        }

    val reportIntervalMs: Double
        get() = if (this == STALE_LOAD) 4_000.0 else 1_000.0

    val reportAgeMs: Long
        get() = if (this == STALE_LOAD) 4_000 else 500

    companion object {
        const val ARRIVAL_SECONDS = 180.0
        const val BURST_START_SECONDS = 60.0
        const val BURST_END_SECONDS = 140.0
        const val BURST_FACTOR = 3.0
        const val OTHER_CLASSES_FACTOR = 0.3

        /** Factor of [LONG_REVIEWS]. */
        private const val LONG_FACTOR = 3.0
        private const val LARGE_ORGANISATION_SHARE = 0.7

        /** Makes the largest of ten organisations send about three times as much as the smallest. */
        private const val ORGANISATION_SKEW = 0.25
    }
}
