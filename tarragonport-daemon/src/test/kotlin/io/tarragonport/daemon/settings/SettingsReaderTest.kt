package io.tarragonport.daemon.settings

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against faults in the settings that are reported one at a time or only after startup. */
class SettingsReaderTest {
    private class Case(
        val name: String,
        val changes: Map<String, String>,
        val faults: List<String>,
    )

    @TestFactory
    fun `all faults are reported together`(): List<DynamicTest> =
        listOf(
            Case("valid settings", emptyMap(), emptyList()),
            Case("a host name", mapOf("caller_address" to "\"localhost:1\""), listOf("/caller_address")),
            Case("a port out of range", mapOf("peer_address" to "\"127.0.0.1:70000\""), listOf("/peer_address")),
            Case("an unknown field", mapOf("peer_adress" to "\"127.0.0.1:2\""), listOf("peer_adress")),
            Case("a number in place of a text", mapOf("region" to "[]"), listOf("region")),
            Case("the same address twice", mapOf("peer_address" to "\"127.0.0.1:1\""), listOf("/peer_address")),
            Case(
                "several faults",
                mapOf("platform_url" to "\"https://platform\"", "vm_id" to "\"\"", "body_limit_bytes" to "0"),
                listOf("/platform_url", "/vm_id", "/body_limit_bytes"),
            ),
        ).map { case -> DynamicTest.dynamicTest(case.name) { check(case) } }

    private fun check(case: Case) {
        val fields = VALID + case.changes
        val text = fields.entries.joinToString(",\n", "{ // settings\n", ",\n}") { "\"${it.key}\": ${it.value}" }
        val faults = SettingsReader.read(text).fold({ it }, { emptyList() })
        assertEquals(case.faults.size, faults.size, "$faults")
        case.faults.forEach { field -> assertTrue(faults.any { field in it }, "$field is not reported in $faults") }
    }

    private companion object {
        val VALID =
            mapOf(
                "vm_id" to "\"vm-1\"",
                "region" to "\"lima\"",
                "failure_domain" to "\"lima-a\"",
                "caller_address" to "\"127.0.0.1:1\"",
                "peer_address" to "\"127.0.0.1:2\"",
                "platform_url" to "\"http://127.0.0.1:3\"",
            )
    }
}
