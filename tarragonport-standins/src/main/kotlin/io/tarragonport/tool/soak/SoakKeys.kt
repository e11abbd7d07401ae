package io.tarragonport.tool.soak

import io.tarragonport.standin.fleet.FleetSamples
import io.tarragonport.standin.fleet.StoreStandIn
import kotlin.random.Random

/** The operator of a soak: keys are added and withdrawn, routes are added, each with a new version of the configuration. */
class SoakKeys(
    private val store: StoreStandIn,
) {
    private var version = 1L
    private var issued = 0
    private var extraRoutes = 0

    @Volatile
    private var keys = listOf(newKey(), newKey(), newKey())

    /** Whether a change is in progress that a VM may not know yet. */
    @Volatile
    var changing = false
        private set

    @Volatile
    private var withdrawn = emptyList<SoakKey>()

    /** A key that callers use: mostly one in force, at times one that was withdrawn. */
    fun pick(random: Random): SoakKey {
        val old = withdrawn
        val useOld = old.isNotEmpty() && random.nextDouble() < WITHDRAWN_SHARE
        return if (useOld) old[random.nextInt(old.size)] else keys[random.nextInt(keys.size)]
    }

    /** Writes the configuration as it is now. */
    fun write() {
        val routes =
            FleetSamples.routes() +
                List(extraRoutes) { FleetSamples.route("/extra-$it/", "idempotent", FleetSamples.PLAIN) }
        store.configure(FleetSamples.configuration(version, keys.map { it.value }, routes))
    }

    /** Adds a key, and withdraws the oldest one after callers could use the new one everywhere. */
    fun replaceOldest() {
        changing = true
        val added = newKey()
        val before = keys
        version += STEP
        store.configure(FleetSamples.configuration(version, (before + added).map { it.value }))
        Thread.sleep(IN_FORCE_MS)
        keys = before.drop(1) + added
        version += STEP
        write()
        before.first().revokedAt = RunLedger.now()
        withdrawn = withdrawn + before.first()
        changing = false
    }

    /** Adds routes that no caller uses, several versions in quick succession. */
    fun storm() =
        repeat(STORM) {
            extraRoutes++
            version += STEP
            write()
            Thread.sleep(STORM_PAUSE_MS)
        }

    private fun newKey() = SoakKey("soak-key-${issued++}", "one")

    private companion object {
        /** Versions grow in uneven steps at the users' operators; the size does not matter. */
        const val STEP = 3L

        /** Twice the bound of a change of the configuration. */
        const val IN_FORCE_MS = 4_000L
        const val STORM = 8
        const val WITHDRAWN_SHARE = 0.05
        const val STORM_PAUSE_MS = 80L
    }
}
