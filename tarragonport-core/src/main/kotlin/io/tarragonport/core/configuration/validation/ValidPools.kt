package io.tarragonport.core.configuration.validation

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.Pool

/** Rejects pools with invalid sizes, malformed addresses, or reclaimable servers that the pool does not allow. */
object ValidPools : ValidationRule {
    private val ADDRESS = Regex("""http://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+]):(\d{1,5})""")
    private const val MAXIMUM_PORT = 65_535

    override fun check(document: ConfigurationDocument): List<Problem> {
        val collector = ProblemCollector("pools")
        document.pools.forEachIndexed { index, pool ->
            checkSizes(collector, index, pool)
            checkServers(collector, index, pool)
        }
        return collector.problems()
    }

    private fun checkSizes(
        collector: ProblemCollector,
        index: Int,
        pool: Pool,
    ) {
        collector.require(pool.name.isNotBlank(), index, "name") { "name must not be empty" }
        collector.require(pool.slots > 0, index, "slots") { "slots must be positive" }
        collector.require(pool.minimumServers >= 0, index, "minimum_servers") { "minimum_servers must not be negative" }
        collector.require(pool.maximumServers >= pool.minimumServers, index, "maximum_servers") {
            "maximum_servers ${pool.maximumServers} is below minimum_servers ${pool.minimumServers}"
        }
        collector.require(pool.maximumServers == 0 || pool.failureDomains.isNotEmpty(), index, "failure_domains") {
            "placement needs at least one failure domain"
        }
    }

    private fun checkServers(
        collector: ProblemCollector,
        index: Int,
        pool: Pool,
    ) {
        pool.servers.forEachIndexed { position, server ->
            collector.require(isAddress(server.address), index, "servers/$position/address") {
                "address \"${server.address}\" is not of the form http://ip:port"
            }
            collector.require(pool.cheapAllowed || !server.cheap, index, "servers/$position/cheap") {
                "pool \"${pool.id}\" does not allow cheap backend servers"
            }
        }
    }

    private fun isAddress(text: String): Boolean {
        val match = ADDRESS.matchEntire(text) ?: return false
        return match.groupValues[3].toInt() in 1..MAXIMUM_PORT
    }
}
