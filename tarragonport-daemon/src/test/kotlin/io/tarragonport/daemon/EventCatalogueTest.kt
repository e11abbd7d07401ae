package io.tarragonport.daemon

import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals

/** Guards against events missing from docs/events.md and against duplicate numbers or names. */
class EventCatalogueTest {
    @Test
    fun `numbers and names are unique`() {
        listOf(EventCatalogue.ALL.map { it.number }, EventCatalogue.ALL.map { it.name }).forEach { values ->
            val twice = values.groupingBy { it }.eachCount().filterValues { it > 1 }
            assertEquals(emptyMap(), twice)
        }
    }

    @Test
    fun `docs list exactly the events of the daemon`() {
        val text = Files.readAllLines(Path.of("../docs/events.md"))
        assertEquals(EventCatalogue.rows(), text.filter { it.matches(Regex("""\| \d{4} \|.*""")) })
    }
}
