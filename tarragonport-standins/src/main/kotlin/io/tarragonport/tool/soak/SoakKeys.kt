package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.StoreStandIn
import kotlin.random.Random

/** Changes the configuration in a soak run: each added key, withdrawn key or added route is a new version. */
class SoakKeys(
    private val store: StoreStandIn,
) {
    private var version = 1L
    private var issuedKeys = 0
    private var extraRoutes = 0

    @Volatile
    private var keys = listOf(newKey(), newKey(), newKey())

    /** True while a change is in progress that may not be active on every VM yet. */
    @Volatile
    var changeInProgress = false
        private set

    @Volatile
    private var withdrawn = emptyList<SoakKey>()

    /** A key for a request: usually an active one, sometimes a withdrawn one. */
    fun pick(random: Random): SoakKey {
        val withdrawnKeys = withdrawn
        val useWithdrawn = withdrawnKeys.isNotEmpty() && random.nextDouble() < WITHDRAWN_SHARE
        return if (useWithdrawn) withdrawnKeys[random.nextInt(withdrawnKeys.size)] else keys[random.nextInt(keys.size)]
    }

    /** Writes the current configuration to the store. */
    fun write() {
        val routes =
            FleetSamples.routes() +
                List(extraRoutes) { FleetSamples.route("/extra-$it/", "idempotent", FleetSamples.PLAIN) }
        store.configure(FleetSamples.configuration(version, keys.map { it.value }, routes))
    }

    /** Adds a key, waits until it is active on every VM, and withdraws the oldest key. */
    fun replaceOldest() {
        changeInProgress = true
        val added = newKey()
        val previousKeys = keys
        version += VERSION_STEP
        store.configure(FleetSamples.configuration(version, (previousKeys + added).map { it.value }))
        Thread.sleep(PROPAGATION_MS)
        keys = previousKeys.drop(1) + added
        version += VERSION_STEP
        write()
        previousKeys.first().withdrawnAt = RequestHistory.now()
        withdrawn = withdrawn + previousKeys.first()
        changeInProgress = false
    }

    /** Adds routes that no caller uses, as several versions in quick succession. */
    fun writeBurst() =
        repeat(BURST_VERSIONS) {
            extraRoutes++
            version += VERSION_STEP
            write()
            Thread.sleep(BURST_INTERVAL_MS)
        }

    private fun newKey() = SoakKey("soak-key-${issuedKeys++}", "one")

    private companion object {
        /** More than 1, because operators may skip version numbers; the exact value has no meaning. */
        const val VERSION_STEP = 3L

        /** Twice the time limit for a configuration change. */
        const val PROPAGATION_MS = 4_000L
        const val BURST_VERSIONS = 8
        const val WITHDRAWN_SHARE = 0.05
        const val BURST_INTERVAL_MS = 80L
    }
}
