package io.tarragonport.tool.fault

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.client.document.DocumentSection
import io.tarragonport.client.section.SectionEncoder
import io.tarragonport.client.section.SectionRepository
import io.tarragonport.client.section.WriteResult
import io.tarragonport.platform.HttpObjectStore
import io.tarragonport.platform.PlatformHttp
import kotlin.time.Clock

/** An operator who changes the configuration; uses the same code as the command line. */
class SimulatedOperator(
    platformPort: Int,
    private val name: String,
) : AutoCloseable {
    private val http = PlatformHttp("http://127.0.0.1:$platformPort")
    private val repository = SectionRepository(HttpObjectStore(http), Clock.System, name)

    override fun close() = http.close()

    /** Writes all sections of [document]; true if every write succeeded. */
    suspend fun apply(document: ConfigurationDocument): Boolean {
        val current = repository.read().getOrNull() ?: return false
        return DocumentSection.entries.all { section ->
            SectionEncoder.encode(section, document).all { (name, entries) ->
                val version = current.section(name).version
                repository.write(name, version, entries).getOrNull() is WriteResult.Written
            }
        }
    }

    /** Adds or replaces [record] in its shard; true if the write was confirmed. */
    suspend fun put(record: KeyRecord): Boolean {
        val shard = SectionName.keyShard(record.digest)
        repeat(MAXIMUM_ATTEMPTS) {
            val current = repository.read().getOrNull() ?: return false
            val otherKeys =
                current.document().keys.filter {
                    SectionName.keyShard(it.digest) == shard && it.id != record.id
                }
            val entries = SectionEncoder.encodeShard(otherKeys + record)
            val result = repository.write(shard, current.section(shard).version, entries).getOrNull() ?: return false
            if (result is WriteResult.Written) return true
        }
        return false
    }

    /**
     * Sets the weights of all organisations, conditional on the version read. True if the write succeeded, false if
     * another operator wrote first, null if the platform did not respond.
     */
    suspend fun writeWeights(weight: Int): Boolean? {
        val current = repository.read().getOrNull() ?: return null
        val organisations = current.document().organisations.map { it.copy(weight = weight) }
        val document = ConfigurationDocument(organisations = organisations)
        val entries = SectionEncoder.encode(DocumentSection.ORGANISATIONS, document).values.single()
        val version = current.section(SectionName.ORGANISATIONS).version
        val result = repository.write(SectionName.ORGANISATIONS, version, entries).getOrNull() ?: return null
        return result is WriteResult.Written
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 5
    }
}
