package io.tarragonport.daemon.gateway

import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** An invalid settings file must be reported error by error, and a changed one must be detected without a signal. */
class SettingsFileTest {
    @TempDir
    lateinit var folder: Path

    private val validText =
        """
        // comment
        {"vm_id": "v", "region": "r", "failure_domain": "a", "ip": "10.0.0.1", "caller_address": "10.0.0.1:1",
         "readiness_address": "10.0.0.1:2", "peer_ports": [3, 4], "platform_url": "http://10.0.0.9:5",}
        """.trimIndent()

    @Test
    fun `errors name the invalid field`() {
        data class Case(
            val from: String,
            val to: String,
            val field: String,
        )
        listOf(
            Case("\"10.0.0.1:1\"", "\"nowhere\"", "/caller_address"),
            Case("http://10.0.0.9:5", "10.0.0.9:5", "/platform_url"),
            Case("[3, 4]", "[4, 3]", "/peer_ports"),
            Case("\"vm_id\": \"v\"", "\"vm_id\": \"\"", "/vm_id"),
            Case("\"region\": \"r\"", "\"region\": \"r\", \"stop_seconds\": 0", "/stop_seconds"),
            Case("\"region\": \"r\"", "\"region\": \"r\", \"retry_ratio\": -1", "/retry_ratio"),
            Case("\"region\": \"r\"", "\"region\": \"r\", \"unknown\": 1", "/unknown"),
            Case("\"region\": \"r\",", "", "\"region\" is missing"),
        ).forEach { case ->
            val file = folder.resolve("settings.json")
            Files.writeString(file, validText.replace(case.from, case.to))
            val errors = SettingsFile("$file").read().leftOrNull().orEmpty()
            assertTrue(errors.any { case.field in it }, "$case: $errors")
        }
    }

    @Test
    fun `the file is read again only if its content has changed`() {
        val file = folder.resolve("settings.json")
        Files.writeString(file, validText)
        val settings = SettingsFile("$file")
        assertEquals(
            "v",
            settings
                .read()
                .getOrNull()
                ?.vmId
                ?.value,
        )
        assertNull(settings.readIfChanged())
        Files.writeString(file, validText.replace("\"v\"", "\"w\""))
        assertEquals("w", assertNotNull(settings.readIfChanged()).getOrNull()?.vmId?.value)
        Files.delete(file)
        assertTrue(assertNotNull(settings.readIfChanged()).isLeft())
    }
}
