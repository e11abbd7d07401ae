package io.tarragonport.daemon.store

import arrow.core.Either
import arrow.core.left
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adds latency and faults to calls of [store].
 *
 * [faultOf] chooses the fault of each call from its verb (`get`, `put`, `delete`, `list`) and object name. [delayOf]
 * gives the latency of each call and the delay of a delayed effect. A call that reached the platform takes effect even
 * if its caller is cancelled, therefore effects run in [platform].
 */
class FaultyObjectStore(
    private val store: ObjectStore,
    private val platform: CoroutineScope,
    private val faultOf: (verb: String, name: String) -> Fault? = { _, _ -> null },
    private val delayOf: (Fault?) -> Duration = { 2.milliseconds },
) : ObjectStore {
    /** While true, no call reaches the platform. */
    var outage = false

    /** Writes that reached the platform, including those with a conflict. */
    var writes = 0
        private set

    /** Reads that reached the platform. */
    var reads = 0
        private set

    override suspend fun get(name: String): Either<PlatformError, StoredObject?> =
        call("get", name) {
            reads++
            store.get(name)
        }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> =
        call("put", name) {
            writes++
            store.put(name, value, condition)
        }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> =
        call("delete", name) {
            writes++
            store.delete(name, version)
        }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> =
        call("list", prefix) {
            reads++
            store.list(prefix, withValues)
        }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> = call("watch", prefix) { store.watch(prefix, after, wait) }

    private suspend fun <T> call(
        verb: String,
        name: String,
        effect: suspend () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        val fault = if (outage) Fault.UNAVAILABLE else faultOf(verb, name)
        val latency = delayOf(null)
        if (fault == Fault.UNAVAILABLE) {
            delay(latency)
            return unavailable()
        }
        val effectDelay = if (fault == Fault.EFFECT_DELAYED) delayOf(fault) else latency
        val running =
            platform.async {
                delay(effectDelay)
                effect()
            }
        if (fault == Fault.EFFECT_DELAYED) {
            delay(latency)
            return unavailable()
        }
        val result = running.await()
        return when (fault) {
            Fault.RESPONSE_LOST -> unavailable()
            Fault.CONFLICT_AFTER_EFFECT -> conflictWithItself(verb, result)
            else -> result
        }
    }

    private fun <T> conflictWithItself(
        verb: String,
        result: Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        val version = result.getOrNull()
        return if (verb == "put" && version is ObjectVersion) PlatformError.Conflict(version).left() else result
    }

    private fun unavailable() = PlatformError.Unavailable("injected").left()
}
