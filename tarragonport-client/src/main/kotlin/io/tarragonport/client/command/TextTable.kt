package io.tarragonport.client.command

/** A table whose columns are padded to their widest cell. */
internal class TextTable(
    private val header: List<String>,
) {
    private val rows = mutableListOf(header)

    fun add(vararg cells: String) {
        require(cells.size == header.size) { "expected a row of ${header.size} cells, got ${cells.size}" }
        rows += cells.toList()
    }

    fun lines(): List<String> {
        val widths = header.indices.map { column -> rows.maxOf { it[column].length } }
        return rows.map { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
