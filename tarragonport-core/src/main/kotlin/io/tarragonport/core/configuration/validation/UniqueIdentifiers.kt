package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument

/** Rejects duplicate ids in a section, duplicate key digests, and server ids that are listed more than once. */
object UniqueIdentifiers : ValidationRule {
    override fun check(document: ConfigurationDocument): List<Problem> =
        duplicates("organisations", "id", document.organisations.map { it.id.value }) +
            duplicates("keys", "id", document.keys.map { it.id.value }) +
            duplicates("keys", "digest", document.keys.map { it.digest.value }) +
            duplicates("classes", "id", document.classes.map { it.id.value }) +
            duplicates("pools", "id", document.pools.map { it.id.value }) +
            duplicates("routes", "id", document.routes.map { it.id }) +
            duplicateServers(document)

    private fun duplicates(
        section: String,
        field: String,
        values: List<String>,
    ): List<Problem> {
        val collector = ProblemCollector(section)
        val seen = mutableMapOf<String, Int>()
        values.forEachIndexed { index, value ->
            val first = seen.putIfAbsent(value, index)
            collector.require(first == null, index, field) { "$field \"$value\" is already used by entry $first" }
        }
        return collector.problems()
    }

    private fun duplicateServers(document: ConfigurationDocument): List<Problem> {
        val collector = ProblemCollector("pools")
        val seen = mutableMapOf<String, String>()
        document.pools.forEachIndexed { index, pool ->
            pool.servers.forEachIndexed { position, server ->
                val other = seen.putIfAbsent(server.id.value, pool.id.value)
                collector.require(other == null, index, "servers/$position/id") {
                    "backend server \"${server.id}\" is already listed in pool \"$other\""
                }
            }
        }
        return collector.problems()
    }
}
