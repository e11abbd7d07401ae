package io.tarragonport.client

import arrow.core.Either
import arrow.core.right
import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.configuration.StoredSection
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.status.DecisionTrace
import io.tarragonport.api.status.TraceStep
import io.tarragonport.client.command.CommandEnvironment
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock

/** Runs complete command lines against an object store in memory. */
class OperatorClientTest {
    @TempDir
    lateinit var folder: Path

    private val store = FakeStore()
    private val standardOutput = ByteArrayOutputStream()
    private val errorOutput = ByteArrayOutputStream()

    private val environment =
        object : CommandEnvironment {
            override val output = PrintStream(standardOutput, true)

            override fun connect(
                platformUrl: String,
                operator: String,
            ) = ClientContext(store, TraceClient(::trace), Clock.System, operator, output)
        }

    private suspend fun trace(
        address: String,
        request: RequestId,
    ): Either<String, DecisionTrace?> =
        DecisionTrace(request, VmId("vm-1"), listOf(TraceStep(0, 2001, "routed", address)))
            .takeIf { request.value == "known" }
            .right()

    private fun run(vararg arguments: String): ExitStatus {
        standardOutput.reset()
        errorOutput.reset()
        return OperatorClient(environment, PrintStream(errorOutput, true)).run(arguments.toList())
    }

    private fun runOnPlatform(vararg arguments: String): ExitStatus =
        run(*arguments, "--platform", "http://127.0.0.1:1", "--operator", "ana")

    private fun documentFile(text: String): String =
        folder
            .resolve("document.json")
            .also { Files.writeString(it, text) }
            .toString()

    @Test
    fun `validate reports each kind of error`() {
        val cases =
            listOf(
                """{"organisations": [{"id": "a", "wieght": 2}]}""" to "/organisations/0/wieght: unknown field",
                """{"classes": [{"id": "a", "tier": 1}]}""" to "field \"deadline_ms\" is missing",
                """{"classes": [{"id": "a", "tier": 5, "deadline_ms": 10}]}""" to "tier 5 is not 1 to 4",
                """{"classes": [{"id": "a", "tier": 1, "deadline_ms": 10, "first_token_ms": 20}]}""" to
                    "after the deadline",
                """{"organisations": [{"id": "a"}, {"id": "a"}]}""" to "already used by entry 0",
                """{"routes": [{"id": "r", "classes": ["x"], "pool": "p"}]}""" to "class \"x\" does not exist",
                """{"extra": []}""" to "unknown section",
                """{"limits": [""" to "document",
                """{"limits": 3}""" to "must be an array",
                """{"classes": [{"id": "a", "tier": "x", "deadline_ms": 10}]}""" to "/classes/0",
                """{"classes": [{"id": "o", "tier": 1, "deadline_ms": 9, "repeatable": false}]}""" to
                    "cannot be resumable",
            )
        cases.forEach { (text, expected) ->
            assertEquals(ExitStatus.INVALID, run("validate", documentFile(text)), text)
            assertContains(errorOutput.toString(), expected)
            assertFalse(errorOutput.toString().contains("\tat "), "stack trace printed for $text")
        }
    }

    @Test
    fun `validate reports the section and line of each of several errors`() {
        val text =
            """
            {
              // Two errors on lines 4 and 6.
              "organisations": [
                {"id": "a", "colour": "red"},
              ],
              "classes": [{"id": "c"}],
            }
            """.trimIndent()
        run("validate", documentFile(text))
        assertContains(errorOutput.toString(), "document.json:4: section organisations")
        assertContains(errorOutput.toString(), "document.json:6: section classes")
    }

    @Test
    fun `exit status of a usage error is 2 and of help is 0`() {
        val cases =
            listOf(
                listOf("frobnicate") to ExitStatus.INVALID,
                listOf("validate") to ExitStatus.INVALID,
                listOf("apply", "x.json", "--nonsense") to ExitStatus.INVALID,
                listOf("status", "--platform", "ftp://x") to ExitStatus.INVALID,
                listOf("validate", "/does/not/exist") to ExitStatus.INVALID,
                listOf("--help") to ExitStatus.SUCCESS,
                listOf("apply", "--help") to ExitStatus.SUCCESS,
                listOf("key", "create", "--help") to ExitStatus.SUCCESS,
            )
        cases.forEach { (arguments, expected) ->
            assertEquals(expected, run(*arguments.toTypedArray()), arguments.toString())
        }
    }

    @Test
    fun `applying the output of get changes nothing`() {
        val document =
            documentFile(
                """{"organisations": [{"id": "a"}], "limits": [{"organisation": "a", "tokens_per_minute": 5}]}""",
            )
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("apply", document), errorOutput.toString())
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("get"))
        val copy = documentFile(standardOutput.toString())
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("apply", copy), errorOutput.toString())
        assertContains(standardOutput.toString(), "nothing to change")
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("diff", copy))
        assertContains(standardOutput.toString(), "no difference")
    }

    @Test
    fun `a version conflict reports the other change and overwrites nothing`() {
        runOnPlatform("apply", documentFile("""{"organisations": [{"id": "a"}]}"""))
        val concurrentWrite = storedSection("berta", """[{"id":"a"},{"id":"b"}]""")
        store.beforePut = { name ->
            store.beforePut = {}
            store.store(name, concurrentWrite)
        }
        assertEquals(
            ExitStatus.FAILURE,
            runOnPlatform("apply", documentFile("""{"organisations": [{"id": "a", "weight": 3}]}""")),
        )
        assertContains(errorOutput.toString(), "changed by berta")
        assertContains(errorOutput.toString(), "+ organisations b")
        assertEquals(concurrentWrite, store.objects.getValue("config/organisations").value)
    }

    @Test
    fun `a file from get is rejected after a change by another operator`() {
        runOnPlatform("apply", documentFile("""{"organisations": [{"id": "a"}]}"""))
        runOnPlatform("get", "organisations")
        val edited = standardOutput.toString().replace("\"a\"", "\"a2\"")
        store.store("config/organisations", storedSection("berta", """[{"id":"a","weight":9}]"""))
        assertEquals(ExitStatus.FAILURE, runOnPlatform("apply", documentFile(edited)))
        assertContains(errorOutput.toString(), "changed by berta")
    }

    @Test
    fun `a write whose response was lost is recognised as successful`() {
        store.loseNextResponse = true
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("apply", documentFile("""{"organisations": [{"id": "a"}]}""")))
        assertContains(store.objects.getValue("config/organisations").value, "\"changed_by\":\"ana\"")
    }

    @Test
    fun `an unreachable platform gives exit status 1 and one error line`() {
        store.available = false
        listOf("get", "status").forEach { command ->
            assertEquals(ExitStatus.FAILURE, runOnPlatform(command))
            assertEquals(
                1,
                errorOutput
                    .toString()
                    .trim()
                    .lines()
                    .size,
            )
        }
    }

    @Test
    fun `keys are stored as digests only and can be withdrawn`() {
        runOnPlatform("apply", documentFile("""{"organisations": [{"id": "a"}]}"""))
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("key", "create", "--organisation", "a", "--id", "k1"))
        val key =
            standardOutput
                .toString()
                .trim()
                .lines()
                .last()
        assertTrue(store.objects.values.none { it.value.contains(key) }, "the key itself was stored")
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("key", "withdraw", "k1"))
        assertTrue(store.objects.values.any { it.value.contains("\"withdrawn\":true") })
        assertEquals(ExitStatus.FAILURE, runOnPlatform("key", "withdraw", "k2"))
        assertEquals(ExitStatus.FAILURE, runOnPlatform("key", "create", "--organisation", "z", "--id", "k3"))
    }

    @Test
    fun `explain queries the VMs that report their status`() {
        store.store(
            "status/vm-1",
            """{"vm":"vm-1","incarnation":1,"region":"r","failure_domain":"d","caller_address":"127.0.0.1:9",
            |"written_at":"x","ready":true,"draining":false,"isolated":false,"live_vms":1,"sections":{},"classes":[],
            |"servers":[],"leases":[]}
            """.trimMargin(),
        )
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("explain", "known"))
        assertContains(standardOutput.toString(), "2001 routed  127.0.0.1:9")
        assertEquals(ExitStatus.FAILURE, runOnPlatform("explain", "unknown"))
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("status"))
        assertContains(standardOutput.toString(), "vm-1")
        assertEquals(ExitStatus.SUCCESS, runOnPlatform("status", "--json"))
        Json.parseToJsonElement(standardOutput.toString())
    }

    private fun storedSection(
        author: String,
        entries: String,
    ): String =
        ConfigurationJson.encodeToString(
            StoredSection.serializer(),
            StoredSection(author, "2026-12-04T00:00:00Z", "other", Json.parseToJsonElement(entries).jsonArray),
        )
}
