package io.tarragonport.daemon.intent

import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentOperation
import io.tarragonport.core.intent.IntentOutcome

/**
 * Forwards operations to the VM that commits a bucket on behalf of all VMs.
 *
 * Forwarding only reduces version conflicts; correctness does not depend on it. VMs may disagree about the owner, the
 * owner may have failed, and an operation may be committed by both owner and sender: applying it is idempotent.
 */
interface IntentForwarding {
    /** The VM that should commit [bucket]; null if that is this VM or unknown. */
    fun ownerOf(bucket: Int): VmId?

    /** Forwards [operation] to [owner]; null if the owner did not confirm that it is durable. */
    suspend fun commit(
        owner: VmId,
        operation: IntentOperation,
    ): IntentOutcome?

    /** Disables forwarding: each VM commits its own operations. */
    data object None : IntentForwarding {
        override fun ownerOf(bucket: Int): VmId? = null

        override suspend fun commit(
            owner: VmId,
            operation: IntentOperation,
        ): IntentOutcome? = null
    }
}
