package io.tarragonport.tool.capacity

import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome
import io.tarragonport.daemon.intent.IntentForwarding
import io.tarragonport.daemon.intent.ObjectStoreIntentRegistry
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Forwards within this process from VM number [from] to the owner among [registries], with the delay of a message. */
internal class LocalForwarding(
    private val from: Int,
    private val vms: Int,
    private val registries: Map<VmId, ObjectStoreIntentRegistry>,
) : IntentForwarding {
    override fun ownerOf(bucket: Int): VmId? = VmId("vm-${bucket % vms}").takeIf { bucket % vms != from }

    override suspend fun commit(
        owner: VmId,
        operation: IntentOperation,
    ): IntentOutcome? {
        delay(MESSAGE_DELAY)
        val outcome = registries.getValue(owner).commitForwarded(operation)
        delay(MESSAGE_DELAY)
        return outcome
    }

    private companion object {
        val MESSAGE_DELAY = 1.milliseconds
    }
}
