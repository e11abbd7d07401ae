package io.tarragonport.core.membership

import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ListedVm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * The platform's VM list over time. The list is delayed, so it determines only which VMs to contact and which lost
 * members to remove, never which VMs are live.
 */
class VmListing(
    private val timeSource: TimeSource,
) {
    private val seeds = LinkedHashSet<String>()
    private val listed = HashMap<VmId, ListedVm>()
    private val missingSince = HashMap<VmId, TimeMark>()

    /** Peer addresses of the seeds and of the VMs in the list that are not leaving. */
    val addresses: Set<String>
        get() = seeds + listed.values.filter { !it.leaving }.map { it.peerAddress }

    fun addSeeds(addresses: Collection<String>) {
        seeds.addAll(addresses)
    }

    /** Applies a new version of the list. */
    fun update(vms: List<ListedVm>) {
        val current = vms.associateBy { it.id }
        (listed.keys - current.keys).forEach { missingSince.getOrPut(it) { timeSource.markNow() } }
        current.keys.forEach { missingSince.remove(it) }
        missingSince.values.removeIf { it.elapsedNow() >= MemberTable.LOST_RETENTION }
        listed.clear()
        listed.putAll(current)
    }

    /** VMs that have been missing from the list for [REMOVAL_DELAY]. */
    fun unlisted(): Set<VmId> = missingSince.filterValues { it.elapsedNow() >= REMOVAL_DELAY }.keys.toSet()

    companion object {
        /** The list is delayed by tens of seconds. */
        val REMOVAL_DELAY: Duration = 60.seconds
    }
}
