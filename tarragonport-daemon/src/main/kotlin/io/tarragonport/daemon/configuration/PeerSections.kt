package io.tarragonport.daemon.configuration

import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.VmId
import io.tarragonport.api.peer.PeerMessage
import io.tarragonport.daemon.peer.PeerMessageHandler
import io.tarragonport.daemon.peer.PeerMessenger
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Sections from peers: learns newer versions from every message, fetches them from the peer that announced them, and
 * answers such requests of others.
 *
 * A VM that has no complete configuration waits for the platform. Only [startFromPeers] makes it take the highest
 * versions announced by at least half of the VMs that it knows of, so that a cut-off peer with an old version does not
 * decide alone.
 */
internal class PeerSections(
    private val state: ConfigurationState,
    private val peers: PeerMessenger,
    private val timeSource: TimeSource,
    private val fetchFromStore: suspend (SectionName) -> Unit,
) : PeerMessageHandler {
    private val announced = HashMap<VmId, List<Long>>()
    private val wanted = LinkedHashMap<SectionName, Wanted>()
    private val work = Channel<Unit>(Channel.CONFLATED)
    private var answerWindow: TimeMark? = null
    private var answersInWindow = 0

    // Before the first whole state arrives, the peers known are only those heard first.
    private var fleetKnown = false

    override fun receive(
        from: VmId,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.Probe -> announced(from, message.gossip.versions)
            is PeerMessage.ProbeAnswer -> announced(from, message.gossip.versions)
            is PeerMessage.StateAnswer -> {
                fleetKnown = true
                announced(from, message.versions)
            }
            is PeerMessage.SectionRequest -> answer(from, message.section)
            is PeerMessage.SectionAnswer -> take(message)
            is PeerMessage.IndirectProbe, is PeerMessage.IndirectAnswer, is PeerMessage.StateRequest,
            is PeerMessage.LimitReport, is PeerMessage.LimitShare,
            is PeerMessage.IntentCommit, is PeerMessage.IntentCommitted,
            is PeerMessage.CrashAnnouncement, is PeerMessage.CrashAcknowledgement,
            is PeerMessage.GatewayState, is PeerMessage.GatewaySnapshotRequest, is PeerMessage.GatewaySnapshot,
            is PeerMessage.VmLoadReport, is PeerMessage.AggregateLoad,
            -> Unit
        }
    }

    /** Fetches what peers announced until it is cancelled. */
    suspend fun fetchRepeatedly() {
        for (signal in work) {
            wanted.forEach { (section, wish) -> peers.send(wish.from, PeerMessage.SectionRequest(section)) }
            var waited = Duration.ZERO
            while (wanted.isNotEmpty() && waited < ANSWER_TIMEOUT) {
                delay(ANSWER_CHECK_INTERVAL)
                waited += ANSWER_CHECK_INTERVAL
                wanted.entries.removeIf { (section, wish) -> !state.assembler.isNewer(section, wish.version) }
            }
            val late = wanted.keys.toList()
            wanted.clear()
            if (state.complete) late.forEach { fetchFromStore(it) }
        }
    }

    /** Completes the configuration from peers if enough of them announced theirs. */
    fun startFromPeers() {
        val enough = announced.isNotEmpty() && announced.size * 2 >= peers.expectedPeers
        if (state.complete || !fleetKnown || !enough) return
        val highest = SectionName.ALL.indices.map { index -> announced.maxBy { it.value[index] } }
        val present = SectionName.ALL.filterIndexed { index, _ -> highest[index].value[index] > 0 }
        state.applyListing(present.toSet(), ObjectVersion.NONE)
        SectionName.ALL.forEachIndexed {
            index,
            section,
            ->
            want(section, highest[index].key, highest[index].value[index])
        }
        peers.announceVersions(state.versionList())
    }

    private fun announced(
        from: VmId,
        versions: List<Long>,
    ) {
        if (versions.size != SectionName.ALL.size) return
        announced[from] = versions
        if (state.complete) SectionName.ALL.forEachIndexed { index, section -> want(section, from, versions[index]) }
    }

    private fun want(
        section: SectionName,
        from: VmId,
        version: Long,
    ) {
        val wish = Wanted(from, ObjectVersion(version))
        val better = wish.version > (wanted[section]?.version ?: ObjectVersion.NONE)
        if (better && state.assembler.isNewer(section, wish.version)) {
            wanted[section] = wish
            work.trySend(Unit)
        }
    }

    private fun answer(
        to: VmId,
        section: SectionName,
    ) {
        val window = answerWindow
        if (window == null || window.elapsedNow() >= 1.seconds) {
            answerWindow = timeSource.markNow()
            answersInWindow = 0
        }
        val known = state.assembler.text(section)
        if (known != null && answersInWindow < MAXIMUM_ANSWERS_PER_SECOND) {
            answersInWindow += 1
            peers.send(to, PeerMessage.SectionAnswer(section, known.version, known.text))
        }
    }

    /** Takes a section only if it was asked for: before the start an old one must not come into force. */
    private fun take(message: PeerMessage.SectionAnswer) {
        val wish = wanted[message.section] ?: return
        if (message.version >= wish.version) {
            state.offer(message.section, message.version, message.text)
            peers.announceVersions(state.versionList())
        }
    }

    private class Wanted(
        val from: VmId,
        val version: ObjectVersion,
    )

    companion object {
        /** Time after which a section is fetched from the platform instead. */
        val ANSWER_TIMEOUT: Duration = 1.seconds

        /** Bounds memory and bandwidth when many VMs ask at once; the others turn to the platform. */
        const val MAXIMUM_ANSWERS_PER_SECOND = 64

        private val ANSWER_CHECK_INTERVAL = 20.milliseconds
    }
}
