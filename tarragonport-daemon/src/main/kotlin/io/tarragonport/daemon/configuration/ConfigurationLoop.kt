package io.tarragonport.daemon.configuration

import arrow.core.Either
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.core.configuration.Configuration
import io.tarragonport.core.configuration.SectionCodec
import io.tarragonport.core.membership.Membership
import io.tarragonport.core.membership.RendezvousSelection
import io.tarragonport.daemon.membership.MembershipView
import io.tarragonport.daemon.peer.PeerMessenger
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Keeps the configuration of this VM up to date from the object store and from peers.
 *
 * Every VM lists the section versions each [LIST_INTERVAL] and fetches newer sections. The two watcher VMs of a region
 * also use a watch call, which reduces the delay of a change to milliseconds. The others learn of the change from the
 * watchers' peer messages, and the listing finds changes that watches and messages missed. [run] must be called on
 * the single-threaded control dispatcher.
 */
class ConfigurationLoop(
    private val store: ObjectStore,
    private val self: VmId,
    private val region: RegionId,
    private val fleet: MembershipView,
    private val timeSource: TimeSource,
    private val peers: PeerMessenger = PeerMessenger.None,
) : ConfigurationSource {
    private val state = ConfigurationState(timeSource)
    private val peerSections = PeerSections(state, peers, timeSource) { fetch(it) }
    private val mutableIsolated = MutableStateFlow(false)
    private var lastResponse: TimeMark = timeSource.markNow()
    private var platformUnavailable = false
    private var lastRevision = ObjectVersion.NONE

    init {
        peers.addHandler { from, message ->
            peerSections.receive(from, message)
            updateIsolated()
        }
    }

    override val current: StateFlow<Configuration?> = state.current

    override val isolated: StateFlow<Boolean> = mutableIsolated

    /** Runs until it is cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { listRepeatedly() }
            launch { watchRepeatedly() }
            launch { checkRepeatedly() }
            launch { peerSections.fetchRepeatedly() }
        }

    private suspend fun listRepeatedly() {
        while (true) {
            list()
            delay(if (state.complete) listInterval() else RETRY_INTERVAL)
        }
    }

    private fun listInterval() =
        if (fleet.liveVms.value.size <= Membership.SMALL_FLEET) LIST_INTERVAL else LARGE_FLEET_LIST_INTERVAL

    private suspend fun list() {
        val listing = callStore { store.list(SectionName.OBJECT_PREFIX, false) } ?: return
        val entries = sections(listing)
        val applied = entries.map { (section, entry) -> applyEntry(section, entry) }
        state.applyListing(entries.keys, listing.revision)
        if (applied.all { it }) lastRevision = maxOf(lastRevision, listing.revision)
        peers.announceVersions(state.versionList())
    }

    private suspend fun watchRepeatedly() {
        while (true) {
            if (isWatcher() && state.complete) watch() else delay(WATCH_CHECK_INTERVAL)
        }
    }

    private suspend fun watch() {
        val started = timeSource.markNow()
        val listing =
            callStore(WATCH_WAIT + CALL_TIMEOUT) { store.watch(SectionName.OBJECT_PREFIX, lastRevision, WATCH_WAIT) }
        val applied = listing?.let(::sections).orEmpty().map { (section, entry) -> applyEntry(section, entry) }
        if (listing != null && applied.all { it }) lastRevision = maxOf(lastRevision, listing.revision)
        peers.announceVersions(state.versionList())
        delay(RETRY_INTERVAL - started.elapsedNow())
    }

    /** Section entries of a listing, key shards first; other objects are ignored. */
    private fun sections(listing: ObjectListing): Map<SectionName, ObjectEntry> =
        listing.objects
            .associateBy { SectionName(it.name.removePrefix(SectionName.OBJECT_PREFIX)) }
            .filterKeys { it in SectionName.ALL }
            .toSortedMap(compareBy { SectionName.ALL.indexOf(it) })

    private suspend fun applyEntry(
        section: SectionName,
        entry: ObjectEntry,
    ): Boolean {
        val value = if (entry.deleted) SectionCodec.EMPTY else entry.value
        if (value != null) state.offer(section, entry.version, value)
        return !state.assembler.isNewer(section, entry.version) || fetch(section)
    }

    private suspend fun fetch(section: SectionName): Boolean {
        val stored = callStore { store.get(section.objectName) } ?: return false
        state.offer(section, stored.version, stored.value)
        peers.announceVersions(state.versionList())
        return true
    }

    private suspend fun checkRepeatedly() {
        while (true) {
            delay(CHECK_INTERVAL)
            state.applyOverdue()
            if (platformUnavailable) peerSections.startFromPeers()
            updateIsolated()
        }
    }

    private fun updateIsolated() {
        val silent = lastResponse.elapsedNow() >= ISOLATION_TIMEOUT && peers.sinceLastMessage() >= ISOLATION_TIMEOUT
        val nowIsolated = peers.expectedPeers > 0 && silent
        if (nowIsolated != mutableIsolated.value) {
            state.log(if (nowIsolated) ConfigurationEvents.ISOLATED else ConfigurationEvents.NOT_ISOLATED, "$self")
            mutableIsolated.value = nowIsolated
        }
    }

    private fun isWatcher(): Boolean {
        val candidates =
            fleet.liveVms.value
                .filter { it.region == region }
                .map { it.id }
        return self in RendezvousSelection.choose(WATCH_HASH_KEY, candidates, WATCHERS_PER_REGION)
    }

    /** Result of [call], or null if it failed or did not complete within [timeout]. */
    private suspend fun <T : Any> callStore(
        timeout: Duration = CALL_TIMEOUT,
        call: suspend () -> Either<PlatformError, T?>,
    ): T? {
        val result = withTimeoutOrNull(timeout) { call() }
        platformUnavailable = result == null || result.isLeft()
        if (platformUnavailable) {
            state.log(ConfigurationEvents.PLATFORM_SILENT, "${result ?: "no response within $timeout"}")
        } else {
            lastResponse = timeSource.markNow()
            updateIsolated()
        }
        return result?.getOrNull()
    }

    companion object {
        /** Interval of the version listing in small fleets, such as 7 VMs. */
        val LIST_INTERVAL: Duration = 5.seconds

        /** Interval of the version listing in larger fleets; amounts to 41 reads per second at 410 VMs. */
        val LARGE_FLEET_LIST_INTERVAL: Duration = 10.seconds

        /** Watcher VMs per region; with two, the loss of one does not delay changes. */
        const val WATCHERS_PER_REGION = 2

        /**
         * Time after which a VM is isolated if neither the platform has responded nor a peer has sent a message; it may
         * have missed key withdrawals.
         */
        val ISOLATION_TIMEOUT: Duration = 10.seconds

        private const val WATCH_HASH_KEY = "configuration-watch"
        private val RETRY_INTERVAL = 1.seconds
        private val WATCH_CHECK_INTERVAL = 1.seconds
        private val CHECK_INTERVAL = 1.seconds
        private val WATCH_WAIT = 8.seconds

        // The platform responds within milliseconds; a hanging call must not delay the next listing for long.
        private val CALL_TIMEOUT = 3.seconds
    }
}
