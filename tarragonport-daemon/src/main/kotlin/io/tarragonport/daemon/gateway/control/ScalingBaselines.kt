package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.ServiceId
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition

/**
 * The number of servers that each scaled service had when it was first observed, which is the operator's estimate of
 * what the service needs in bursts. Baselines are kept in the object store, so that a later lease holder does not
 * mistake the result of earlier orders for the baseline.
 */
internal class ScalingBaselines(
    private val store: ObjectStore,
) {
    private val baselines = mutableMapOf<ServiceId, Int>()

    /**
     * The baseline of [service], set to [present] (the current number) if there is none yet; null if the object store
     * does not respond.
     */
    suspend fun of(
        service: ServiceId,
        present: Int,
    ): Int? {
        baselines[service]?.let { return it }
        val name = "$PREFIX$service"
        val value =
            store.put(name, "{\"servers\":$present}", PutCondition.Absent).fold(
                { error -> if (error is PlatformError.Conflict) read(name) else null },
                { present },
            )
        return value?.also { baselines[service] = it }
    }

    private suspend fun read(name: String): Int? =
        store.get(name).getOrNull()?.let {
            VALUE_PATTERN
                .find(it.value)
                ?.groupValues
                ?.get(1)
                ?.toIntOrNull()
        }

    private companion object {
        const val PREFIX = "scaling-baselines/"
        val VALUE_PATTERN = Regex("\"servers\":(\\d+)")
    }
}
