package io.tarragonport.tool.fault

import io.tarragonport.api.configuration.ConfigurationJson
import io.tarragonport.api.id.FailureDomainId
import io.tarragonport.api.id.RegionId
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.ListedVm
import io.tarragonport.standin.engine.EngineFaults
import io.tarragonport.standin.engine.ServiceStandIn
import io.tarragonport.standin.platform.InventoryFile
import io.tarragonport.standin.platform.PlatformStandIn
import io.tarragonport.standin.platform.SpareServer
import io.tarragonport.standin.platform.VmsFile
import java.io.File
import java.nio.file.Files
import java.util.UUID

/** The fleet of a fault run: stand-ins in this process, daemons as separate processes. */
class FaultRunFleet(
    seed: Long,
    vmCount: Int,
    disabledProtection: String?,
) : AutoCloseable {
    val folder: File = Files.createTempDirectory("tarragonport-fault-run").toFile()

    /** One key for each organisation, unique to this run so that checks can search for it. */
    val keys: Map<String, String> =
        FaultRunConfiguration.ORGANISATIONS.associateWith { "tp_fault_${UUID.randomUUID()}" }

    val engines = List(ENGINES) { EngineSlot("quoting-$it", TOKENS_PER_SECOND, BASE_FAULTS) }
    val spares = List(SPARES) { EngineSlot("spare-$it", TOKENS_PER_SECOND, BASE_FAULTS) }
    val ledger: ServiceStandIn = ServiceStandIn("ledger-1").start()
    val platform =
        PlatformStandIn(
            inventory =
                InventoryFile(
                    spares =
                        spares.mapIndexed { index, spare ->
                            val domain =
                                FailureDomainId(
                                    FaultRunConfiguration.DOMAINS[index % FaultRunConfiguration.DOMAINS.size],
                                )
                            SpareServer(spare.address, domain, cheap = isCheap(index))
                        },
                    startDelayMs = 500,
                ),
            seed = seed,
        )
    val platformPort: Int = platform.start()
    val vms: List<VmProcess>

    init {
        val members = List(vmCount) { listedVm(it) }
        vms = members.map { process(it, disabledProtection) }
        platform.vmList.replace(VmsFile(members).vms)
    }

    val document get() = FaultRunConfiguration.of(engines, ledger.address, keys)

    fun start() = vms.forEach { it.start() }

    /** The cheap spare server in [domain], which the platform can reclaim. */
    fun cheapSpare(domain: String): EngineSlot =
        spares[FaultRunConfiguration.DOMAINS.size + FaultRunConfiguration.DOMAINS.indexOf(domain)]

    override fun close() {
        vms.forEach {
            it.resume()
            it.kill()
            it.link.close()
        }
        (engines + spares).forEach { it.close() }
        ledger.close()
        platform.close()
    }

    private fun listedVm(index: Int): ListedVm =
        ListedVm(
            id = VmId("vm-$index"),
            peerAddress = "127.0.0.1:${FreePorts.next()}",
            callerAddress = "127.0.0.1:${FreePorts.next()}",
            region = RegionId("lima"),
            failureDomain = FailureDomainId(FaultRunConfiguration.DOMAINS[index % FaultRunConfiguration.DOMAINS.size]),
        )

    private fun process(
        member: ListedVm,
        disabledProtection: String?,
    ): VmProcess {
        val link = LoopbackLink(platformPort)
        val domains = FaultRunConfiguration.DOMAINS.joinToString { "\"$it\"" }
        val settingsJson =
            """
            {"vm_id": "${member.id}", "region": "lima", "failure_domain": "${member.failureDomain}",
             "caller_address": "${member.callerAddress}", "peer_address": "${member.peerAddress}",
             "platform_url": "http://127.0.0.1:${link.port}", "failure_domains": [$domains],
             "drain_accept_ms": $DRAIN_ACCEPT_MS, "log_format": "text"}
            """.trimIndent()
        ConfigurationJson.parseToJsonElement(settingsJson)
        val settings = folder.resolve("${member.id}.json").also { it.writeText(settingsJson) }
        return VmProcess(
            id = member.id.value,
            callerPort = member.callerAddress.substringAfter(':').toInt(),
            link = link,
            settings = settings,
            logFile = folder.resolve("${member.id}.log"),
            command = command(disabledProtection),
        )
    }

    private fun command(disabledProtection: String?): List<String> {
        val java = listOf("java", "-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val path = listOf("-cp", System.getProperty("java.class.path"))
        val main =
            when (disabledProtection) {
                null -> listOf("io.tarragonport.daemon.MainKt")
                else -> listOf("io.tarragonport.tool.fault.WeakenedDaemonMain", "--disable", disabledProtection)
            }
        return java + path + main
    }

    /** The first spare server of each failure domain is a regular one, the second is a cheap, reclaimable one. */
    private fun isCheap(index: Int) = index >= FaultRunConfiguration.DOMAINS.size

    companion object {
        const val ENGINES = 4
        const val SPARES = 6
        const val TOKENS_PER_SECOND = 60.0
        const val SLOTS_PER_ENGINE = 8

        /** Longer than [FaultRunBalancer] needs to detect that a VM is not ready. */
        const val DRAIN_ACCEPT_MS = 1_500
        const val CRASH_MARKER = "[poison]"
        private val BASE_FAULTS = EngineFaults(crashMarker = CRASH_MARKER, cacheGapEvery = 7, loadLagMs = 500)
    }
}
