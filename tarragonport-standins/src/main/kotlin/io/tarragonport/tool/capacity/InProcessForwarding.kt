package io.tarragonport.tool.capacity

import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.daemon.intent.IntentForwarding
import io.tarragonport.daemon.intent.ObjectStoreIntentRegistry
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/**
 * Forwards operations of the VM with index [localIndex] to the registry of the owner in this process, with a simulated
 * network delay.
 */
internal class InProcessForwarding(
    private val localIndex: Int,
    private val vmCount: Int,
    private val registries: Map<VmId, ObjectStoreIntentRegistry>,
) : IntentForwarding {
    override fun ownerOf(bucket: Int): VmId? = VmId("vm-${bucket % vmCount}").takeIf { bucket % vmCount != localIndex }

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
