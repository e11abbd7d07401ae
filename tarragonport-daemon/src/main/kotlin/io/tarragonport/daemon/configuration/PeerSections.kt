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
 * Exchanges sections with peers: detects newer versions in peer messages, requests them from the peer that announced
 * them, and serves such requests of other VMs.
 *
 * A VM without a complete configuration waits for the platform. Only [startFromPeers] makes it use the highest versions
 * announced by peers, and only if at least half of the expected VMs announced theirs, so that a partitioned peer with
 * an old version does not decide alone.
 */
internal class PeerSections(
    private val state: ConfigurationState,
    private val peers: PeerMessenger,
    private val timeSource: TimeSource,
    private val fetchFromStore: suspend (SectionName) -> Unit,
) : PeerMessageHandler {
    private val announcedVersions = HashMap<VmId, List<Long>>()
    private val pendingFetches = LinkedHashMap<SectionName, SectionFetch>()
    private val fetchSignal = Channel<Unit>(Channel.CONFLATED)
    private var responseWindowStart: TimeMark? = null
    private var responsesInWindow = 0

    // False while the member list may contain only the first few peers that sent a message.
    private var fleetStateReceived = false

    override fun receive(
        from: VmId,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.Probe -> onAnnouncement(from, message.gossip.versions)
            is PeerMessage.ProbeAnswer -> onAnnouncement(from, message.gossip.versions)
            is PeerMessage.StateAnswer -> {
                fleetStateReceived = true
                onAnnouncement(from, message.versions)
            }
            is PeerMessage.SectionRequest -> sendSection(from, message.section)
            is PeerMessage.SectionAnswer -> accept(message)
            is PeerMessage.IndirectProbe, is PeerMessage.IndirectAnswer, is PeerMessage.StateRequest,
            is PeerMessage.LimitReport, is PeerMessage.LimitShare,
            is PeerMessage.IntentCommit, is PeerMessage.IntentCommitted,
            is PeerMessage.CrashAnnouncement, is PeerMessage.CrashAcknowledgement,
            is PeerMessage.GatewayState, is PeerMessage.GatewaySnapshotRequest, is PeerMessage.GatewaySnapshot,
            is PeerMessage.GatewayServerChanges, is PeerMessage.GatewayCrashes,
            is PeerMessage.VmLoadReport, is PeerMessage.AggregateLoad,
            is PeerMessage.ServerLoadUpdate, is PeerMessage.ServerLoadRequest, is PeerMessage.ServerLoadAnswer,
            -> Unit
        }
    }

    /** Fetches announced sections until it is cancelled. */
    suspend fun fetchRepeatedly() {
        for (signal in fetchSignal) {
            pendingFetches.forEach { (section, fetch) -> peers.send(fetch.from, PeerMessage.SectionRequest(section)) }
            var waited = Duration.ZERO
            while (pendingFetches.isNotEmpty() && waited < RESPONSE_TIMEOUT) {
                delay(RESPONSE_CHECK_INTERVAL)
                waited += RESPONSE_CHECK_INTERVAL
                pendingFetches.entries.removeIf { (section, fetch) -> !state.assembler.isNewer(section, fetch.version) }
            }
            val unanswered = pendingFetches.keys.toList()
            pendingFetches.clear()
            if (state.complete) unanswered.forEach { fetchFromStore(it) }
        }
    }

    /** Completes the configuration from peers if enough of them announced their versions. */
    fun startFromPeers() {
        val enough = announcedVersions.isNotEmpty() && announcedVersions.size * 2 >= peers.expectedPeers
        if (state.complete || !fleetStateReceived || !enough) return
        val highest = SectionName.ALL.indices.map { index -> announcedVersions.maxBy { it.value[index] } }
        val present = SectionName.ALL.filterIndexed { index, _ -> highest[index].value[index] > 0 }
        state.applyListing(present.toSet(), ObjectVersion.NONE)
        SectionName.ALL.forEachIndexed {
            index,
            section,
            ->
            fetchIfNewer(section, highest[index].key, highest[index].value[index])
        }
        peers.announceVersions(state.versionList())
    }

    private fun onAnnouncement(
        from: VmId,
        versions: List<Long>,
    ) {
        if (versions.size != SectionName.ALL.size) return
        announcedVersions[from] = versions
        if (state.complete) SectionName.ALL.forEachIndexed { index, name -> fetchIfNewer(name, from, versions[index]) }
    }

    private fun fetchIfNewer(
        section: SectionName,
        from: VmId,
        version: Long,
    ) {
        val fetch = SectionFetch(from, ObjectVersion(version))
        val higher = fetch.version > (pendingFetches[section]?.version ?: ObjectVersion.NONE)
        if (higher && state.assembler.isNewer(section, fetch.version)) {
            pendingFetches[section] = fetch
            fetchSignal.trySend(Unit)
        }
    }

    private fun sendSection(
        to: VmId,
        section: SectionName,
    ) {
        val windowStart = responseWindowStart
        if (windowStart == null || windowStart.elapsedNow() >= 1.seconds) {
            responseWindowStart = timeSource.markNow()
            responsesInWindow = 0
        }
        val current = state.assembler.text(section)
        if (current != null && responsesInWindow < MAXIMUM_RESPONSES_PER_SECOND) {
            responsesInWindow += 1
            peers.send(to, PeerMessage.SectionAnswer(section, current.version, current.text))
        }
    }

    /** Accepts only requested sections, because an old one must not become active in an incomplete configuration. */
    private fun accept(message: PeerMessage.SectionAnswer) {
        val fetch = pendingFetches[message.section] ?: return
        if (message.version >= fetch.version) {
            state.offer(message.section, message.version, message.text)
            peers.announceVersions(state.versionList())
        }
    }

    private class SectionFetch(
        val from: VmId,
        val version: ObjectVersion,
    )

    companion object {
        /** Time without a response of the peer after which a section is fetched from the platform. */
        val RESPONSE_TIMEOUT: Duration = 1.seconds

        /** Bounds memory and bandwidth when many VMs send requests at once; the rest fall back to the platform. */
        const val MAXIMUM_RESPONSES_PER_SECOND = 64

        private val RESPONSE_CHECK_INTERVAL = 20.milliseconds
    }
}
