package io.tarragonport.daemon.gateway

import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.peer.ServerEntryChange
import io.tarragonport.api.platform.ObjectEntry
import io.tarragonport.core.gateway.registry.ServerRegistry
import io.tarragonport.daemon.gateway.control.ControlLog
import io.tarragonport.daemon.gateway.control.ServerListUpdater
import io.tarragonport.wire.ServerWire
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.TestTimeSource

/** An entry that is refused must be logged by its name, spoil no other entry and go no further. */
class ServerListUpdaterTest {
    private val sound = entry("10.0.0.1:80")
    private val logged = mutableListOf<String>()
    private val passedOn = mutableListOf<String>()
    private val updater =
        ServerListUpdater(
            ServerRegistry(TestTimeSource()),
            ControlLog { event, fields ->
                val entryName = fields.toMap()["entry"]
                if (event.name == "server_entry_rejected") logged += entryName.toString()
            },
            { passedOn += it.name },
        ) { }

    private val odd =
        listOf(
            "port" to entry("10.0.0.1:99999"),
            "nested" to sound.dropLast(1) + ",\"extra\":" + "[".repeat(LEVELS) + "]".repeat(LEVELS) + "}",
            "number" to sound.replace("\"slots\":6", "\"slots\":1e400"),
            "text" to "\"\"",
            "nothing" to "null",
        )

    private fun entry(address: String) =
        WireJson.encodeToString(ServerWire.serializer(), ServerWire("s", address, "a", 6, "ready"))

    private fun entries(version: Long) =
        (odd + ("sound" to sound)).map { (id, value) -> ObjectEntry("servers/$id", ObjectVersion(version), value) }

    private fun assertOnlySound(title: String) {
        assertEquals(listOf("sound"), updater.registered.map { it.id.value }, title)
        assertEquals(odd.map { "servers/${it.first}" }, logged, title)
        logged.clear()
    }

    /** Guards against an odd entry of any size that is sent to all other machines. */
    @Test
    fun `refused entries are logged and neither kept nor passed on`() {
        updater.adopt(entries(1).associate { it.name to it.value.orEmpty() })
        assertOnlySound("from another machine")
        updater.onListing(entries(1), afterOutage = false, revision = ObjectVersion(1))
        assertOnlySound("listed")
        assertEquals(setOf("servers/sound"), updater.entries.keys)
        entries(2).forEach(updater::onChange)
        assertOnlySound("changed")
        updater.onPeerChanges(entries(3).map { ServerEntryChange(it.name, it.version, it.value) })
        assertOnlySound("changed, from another machine")
        assertEquals(setOf("servers/sound"), updater.entries.keys)
        assertEquals(listOf("servers/sound", "servers/sound"), passedOn)
    }

    private companion object {
        const val LEVELS = 100_000
    }
}
