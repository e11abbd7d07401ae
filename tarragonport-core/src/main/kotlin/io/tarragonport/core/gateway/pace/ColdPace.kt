package io.tarragonport.core.gateway.pace

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Spaces the requests of all VMs to a cold server so that they stay within the rate that it takes.
 *
 * The rate is divided among as many VMs as can send about one request a second each, the first in the order of the
 * server; the others send none until the server is warm. VMs take their turns one after the other.
 */
class ColdPace(
    private val rate: Double,
    private val turn: FleetTurn,
    coldSince: ComparableTimeMark,
) {
    private val senders = minOf(turn.vms, rate.toInt()).coerceAtLeast(1)

    /** Time between two requests of one VM. */
    private val interval: Duration = (senders / rate).seconds
    private var nextAt = coldSince + interval * turn.rank / senders

    /** Whether a request may be sent at [now]. */
    fun allows(now: ComparableTimeMark): Boolean = turn.rank < senders && now >= nextAt

    /** Records that a request is sent at [now]. */
    fun sent(now: ComparableTimeMark) {
        nextAt = now + interval
    }
}
