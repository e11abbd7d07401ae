package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import org.kohsuke.args4j.Option
import java.util.Locale

/** `status`: prints the last status report of each VM, as tables or as JSON. */
class StatusCommand : PlatformCommand() {
    @Option(name = "--json", usage = "print JSON instead of tables")
    var json: Boolean = false

    override val summary =
        "show VMs, configuration versions, attainment of latency objectives by class, leases and backend servers"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val status = FleetStatus.read(context.store).bind()
            if (json) {
                context.output.println(WireJson.encodeToString(FleetStatus.serializer(), status))
            } else {
                tables(status).forEach { table ->
                    table.lines().forEach(context.output::println)
                    context.output.println()
                }
            }
        }

    private fun tables(status: FleetStatus): List<TextTable> =
        listOf(vms(status), sections(status), classes(status), leases(status), servers(status))

    private fun vms(status: FleetStatus): TextTable {
        val table = TextTable(listOf("VM", "REGION", "FAILURE DOMAIN", "STATE", "LIVE VMS", "WRITTEN AT"))
        status.vms.forEach { vm ->
            val state =
                when {
                    vm.draining -> "draining"
                    vm.isolated -> "isolated"
                    vm.ready -> "ready"
                    else -> "not ready"
                }
            table.add(
                vm.vm.value,
                vm.region.value,
                vm.failureDomain.value,
                state,
                vm.liveVms.toString(),
                vm.writtenAt,
            )
        }
        return table
    }

    private fun sections(status: FleetStatus): TextTable {
        val table = TextTable(listOf("SECTION", "NEWEST VERSION", "VMS BEHIND"))
        SectionName.ALL.forEach { name ->
            val versions = status.vms.mapNotNull { it.sections[name] }
            val newest = versions.maxOrNull() ?: return@forEach
            val behind = status.vms.filter { it.sections[name] != newest }.joinToString(",") { it.vm.value }
            if (newest.value > 0) {
                table.add(name.value, newest.toString(), behind.ifEmpty { "-" })
            }
        }
        return table
    }

    private fun classes(status: FleetStatus): TextTable {
        val table = TextTable(listOf("CLASS", "TIER", "ATTAINMENT", "COMPLETED", "IN TIME", "REFUSED", "FAILED"))
        status.classes.forEach {
            val attainment = it.attainment?.let { share -> String.format(Locale.ROOT, "%.4f", share) } ?: "-"
            table.add(
                it.id.value,
                it.tier.toString(),
                attainment,
                it.completed.toString(),
                it.inTime.toString(),
                it.refused.toString(),
                it.failed.toString(),
            )
        }
        return table
    }

    private fun leases(status: FleetStatus): TextTable {
        val table = TextTable(listOf("LEASE", "HOLDER", "FENCING TOKEN"))
        status.vms.forEach { vm ->
            vm.leases.forEach { table.add(it.name, vm.vm.value, it.fencingToken.toString()) }
        }
        return table
    }

    private fun servers(status: FleetStatus): TextTable {
        val table = TextTable(listOf("BACKEND SERVER", "POOL", "FAILURE DOMAIN", "KIND", "STATE"))
        status.vms.flatMap { it.servers }.distinctBy { it.id }.sortedBy { it.id.value }.forEach {
            table.add(
                it.id.value,
                it.pool.value,
                it.failureDomain.value,
                if (it.cheap) "cheap" else "ordinary",
                if (it.leaving) "leaving" else "live",
            )
        }
        return table
    }
}
