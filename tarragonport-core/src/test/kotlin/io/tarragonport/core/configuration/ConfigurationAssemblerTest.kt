package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.PoolKind
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.KeyDigest
import io.tarragonport.api.id.KeyId
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.PoolId
import io.tarragonport.api.id.RequestClassId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against sections that revert, that take effect without what they refer to, or that block each other. */
class ConfigurationAssemblerTest {
    private val time = TestTimeSource()
    private val assembler = ConfigurationAssembler(time)
    private val digest = KeyDigest.of("secret")
    private val shard = SectionName.keyShard(digest)
    private val key = KeyRecord(KeyId("k1"), digest, OrganisationId("alder"), RequestClassId("chat"))
    private val route = Route("r1", listOf(RequestClassId("chat")), PoolId("quoting"))
    private val document =
        ConfigurationDocument(
            organisations = listOf(Organisation(OrganisationId("alder"))),
            keys = listOf(key),
            classes = listOf(RequestClass(RequestClassId("chat"), Tier(1), deadlineMs = 1_000)),
            pools = listOf(Pool(PoolId("quoting"), PoolKind.MODEL, "quoting")),
            routes = listOf(route),
        )

    private fun version(value: Long) = ObjectVersion(value)

    private fun offerAll(document: ConfigurationDocument) =
        SectionCodec.split(document).forEach { (section, text) -> assembler.offer(section, version(10), text) }

    private fun offer(
        section: SectionName,
        value: Long,
        content: SectionContent,
    ) = assembler.offer(section, version(value), SectionCodec.encode(content))

    @Test
    fun `there is no snapshot until the last section is known`() {
        SectionCodec.split(document).entries.forEachIndexed { index, (section, text) ->
            assertNull(assembler.snapshot, "snapshot after $index sections")
            assembler.offer(section, version(10), text)
        }
        assertEquals(document, assembler.snapshot?.document)
    }

    @Test
    fun `sections absent from the store count as empty once it was listed`() {
        val organisations = SectionContent.Organisations(document.organisations)
        offer(SectionName.ORGANISATIONS, 4, organisations)
        assembler.applyListing(setOf(SectionName.ORGANISATIONS), version(4))
        val snapshot = assertNotNull(assembler.snapshot)
        assertEquals(ConfigurationDocument(organisations = document.organisations), snapshot.document)
        assertEquals(ObjectVersion.NONE, snapshot.versions[SectionName.CLASSES])
    }

    @Test
    fun `a listing older than a section does not empty it and a newer one does`() {
        offerAll(document)
        val others = (SectionName.ALL - SectionName.POOLS).toSet()
        val cases = listOf(0L to 1, 9L to 1, 10L to 1, 11L to 0)
        cases.forEach { (revision, pools) ->
            assembler.applyListing(others, version(revision))
            assertEquals(
                pools,
                assembler.snapshot
                    ?.document
                    ?.pools
                    ?.size,
                "listing at revision $revision",
            )
        }
        assertEquals(version(11), assembler.snapshot?.versions?.get(SectionName.POOLS))
    }

    @Test
    fun `only a higher version is applied`() {
        offerAll(document)
        listOf(1L to 10L, 9L to 10L, 10L to 10L, 11L to 11L, 10L to 11L, 12L to 12L).forEach { (offered, expected) ->
            offer(SectionName.ORGANISATIONS, offered, SectionContent.Organisations(document.organisations))
            assertEquals(version(expected), assembler.snapshot?.versions?.get(SectionName.ORGANISATIONS), "$offered")
        }
    }

    @Test
    fun `unreadable text is rejected once and leaves the version in force`() {
        offerAll(document)
        listOf("", "{", """[{"id":"a","colour":"red"}]""", "{}").forEachIndexed { index, text ->
            val newer = version(20L + index)
            assertIs<SectionOutcome.Rejected>(assembler.offer(SectionName.ORGANISATIONS, newer, text))
            assertTrue(!assembler.isNewer(SectionName.ORGANISATIONS, newer), "refetches $text")
        }
        assertEquals(version(10), assembler.snapshot?.versions?.get(SectionName.ORGANISATIONS))
        assertIs<SectionOutcome.Applied>(assembler.offer(SectionName.ORGANISATIONS, version(30), "[]"))
    }

    @Test
    fun `entries are read with and without the record of the change`() {
        val change = """{"changed_by":"ops","changed_at":"2026-12-04T05:00:00Z","change_id":"c1","entries":%s}"""
        offerAll(document)
        listOf("%s", change).forEachIndexed { index, form ->
            val text = form.format("""[{"id":"name-$index"}]""")
            assembler.offer(SectionName.ORGANISATIONS, version(11L + index), text)
            assertEquals(
                "name-$index",
                assembler.snapshot
                    ?.document
                    ?.organisations
                    ?.single()
                    ?.id
                    ?.value,
                text,
            )
        }
    }

    @Test
    fun `a route waits for the pool that it refers to`() {
        offerAll(document)
        val second = route.copy(id = "r2", pool = PoolId("reviews"))
        val held = offer(SectionName.ROUTES, 11, SectionContent.Routes(listOf(route, second)))
        assertEquals(SectionOutcome.Deferred("pool reviews"), held)
        assertEquals(listOf(route), assembler.snapshot?.document?.routes)
        assertEquals(version(11), assembler.versions[SectionName.ROUTES])
        val pools = document.pools + Pool(PoolId("reviews"), PoolKind.MODEL, "reviews")
        val applied = offer(SectionName.POOLS, 12, SectionContent.Pools(pools))
        assertEquals(SectionOutcome.Applied(listOf(SectionName.ROUTES)), applied)
        assertEquals(listOf(route, second), assembler.snapshot?.document?.routes)
    }

    @Test
    fun `a section that waited for too long is applied without the entries concerned`() {
        offerAll(document)
        val second = route.copy(id = "r2", pool = PoolId("reviews"))
        offer(SectionName.ROUTES, 11, SectionContent.Routes(listOf(second, route.copy(openToAll = true))))
        time += 14.seconds
        assertEquals(emptyMap(), assembler.applyOverdue())
        time += 1.seconds
        assertEquals(mapOf(SectionName.ROUTES to "pool reviews"), assembler.applyOverdue())
        assertEquals(listOf(route.copy(openToAll = true)), assembler.snapshot?.document?.routes)
        assertEquals(version(11), assembler.snapshot?.versions?.get(SectionName.ROUTES))
    }

    @Test
    fun `a withdrawal takes effect although its shard also has a key of an unknown organisation`() {
        offerAll(document)
        val stranger = key.copy(id = KeyId("k2"), organisation = OrganisationId("birch"))
        offer(shard, 11, SectionContent.Keys(listOf(stranger, key.copy(withdrawn = true))))
        assertEquals(true, assembler.snapshot?.key(digest)?.withdrawn)
        assertNull(assembler.snapshot?.key(KeyId("k2")))
        val organisations = document.organisations + Organisation(OrganisationId("birch"))
        offer(SectionName.ORGANISATIONS, 12, SectionContent.Organisations(organisations))
        assertNotNull(assembler.snapshot?.key(KeyId("k2")))
    }
}
