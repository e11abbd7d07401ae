package io.tarragonport.core.membership

import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.MemberDetails
import io.tarragonport.api.peer.MemberState
import io.tarragonport.api.peer.MemberUpdate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * The other VMs of the fleet with their latest known state.
 *
 * A report that a known member is dead only makes it suspect: every VM runs the suspicion timeout itself. This gives
 * healthy members time to refute, so VMs that were partitioned or frozen cannot cause their removal.
 * Members first reported as dead are stored as well, because a joining VM needs the expected size of the fleet.
 */
class MemberTable(
    private val timeSource: TimeSource,
) {
    private val members = HashMap<VmId, Member>()

    /** Incremented with every change. */
    var revision = 0L
        private set

    val all: Collection<Member> get() = members.values

    val live: List<Member> get() = members.values.filter { it.live }

    operator fun get(id: VmId): Member? = members[id]

    /** Applies [report] if it supersedes the known state and returns the changed member, else null. */
    fun apply(report: MemberUpdate): Member? {
        val reportedDead = report.state == MemberState.DEAD && report.id in members
        val update = if (reportedDead) report.copy(state = MemberState.SUSPECT) else report
        val current = members[update.id]
        val details = update.details ?: current?.details
        return when {
            details == null || (current == null && update.state == MemberState.LEFT) -> null
            current != null && !current.isSupersededBy(update) -> null
            else -> store(member(update, details))
        }
    }

    /** Declares dead the members that have been suspect for [timeout] and returns them. */
    fun expireSuspects(timeout: Duration): List<Member> =
        members.values
            .filter { it.state == MemberState.SUSPECT && it.stateSince.elapsedNow() >= timeout }
            .map { store(it.copy(state = MemberState.DEAD, stateSince = timeSource.markNow())) }

    /** Restarts the suspicion timeout of every suspect member. */
    fun restartSuspicions() =
        members.values
            .filter { it.state == MemberState.SUSPECT }
            .forEach { members[it.id] = it.copy(stateSince = timeSource.markNow()) }

    /** Removes members that are not live and are either [unlisted] or were lost more than [LOST_RETENTION] ago. */
    fun removeLost(unlisted: Set<VmId>): List<VmId> {
        val removed =
            members.values.filter {
                !it.live && (it.id in unlisted || it.stateSince.elapsedNow() >= LOST_RETENTION)
            }
        removed.forEach { members.remove(it.id) }
        if (removed.isNotEmpty()) revision += 1
        return removed.map { it.id }
    }

    private fun member(
        update: MemberUpdate,
        details: MemberDetails,
    ) = Member(update.id, update.incarnation, update.refutation, update.state, details, timeSource.markNow())

    private fun store(member: Member): Member {
        members[member.id] = member
        revision += 1
        return member
    }

    companion object {
        /** A partition between regions lasts minutes, and its members must stay known to be contacted afterwards. */
        val LOST_RETENTION: Duration = 60.minutes
    }
}
