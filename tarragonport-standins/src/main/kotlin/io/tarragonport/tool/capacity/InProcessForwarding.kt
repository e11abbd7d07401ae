package io.tarragonport.tool.capacity

import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.daemon.intent.IntentForwarding
import io.tarragonport.daemon.intent.ObjectStoreIntentRegistry
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Forwards operations of VM number [from] to the owner among [registries] in this process, with a simulated delay. */
internal class InProcessForwarding(
    private val from: Int,
    private val vms: Int,
    private val registries: Map<VmId, ObjectStoreIntentRegistry>,
) : IntentForwarding {
    override fun ownerOf(bucket: Int): VmId? = VmId("vm-${bucket % vms}").takeIf { bucket % vms != from }

    override suspend fun commit(
        owner: VmId,
        operation: IntentOperation,
    ): IntentOutcome? {
        delay(ONE_WAY_DELAY)
        val outcome = registries.getValue(owner).commitForwarded(operation)
        delay(ONE_WAY_DELAY)
        return outcome
    }

    private companion object {
        val ONE_WAY_DELAY = 1.milliseconds
    }
}
