package io.tarragonport.daemon.lease

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.event.LogEvent
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.StoredObject
import io.tarragonport.core.lease.LeaseAction
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.lease.LeaseRecord
import io.tarragonport.core.lease.LeaseSettings
import io.tarragonport.core.lease.LeaseStateMachine
import io.tarragonport.daemon.event.line
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Keeps one lease against the object API.
 *
 * [name] is the role, for example `orders/lima`; the object is `leases/{name}`. [dispatcher] is the single-threaded
 * dispatcher of control loops. [eligible] says whether this VM is to acquire the lease when it is free.
 */
class LeaseLoop(
    private val name: String,
    owner: LeaseOwner,
    private val store: ObjectStore,
    private val dispatcher: CoroutineDispatcher,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    settings: LeaseSettings = LeaseSettings(),
    private val eligible: () -> Boolean = { true },
) : LeaseGuard {
    private val objectName = "leases/$name"
    private val machine = LeaseStateMachine(owner, settings, clock)
    private val published = MutableStateFlow<FencingToken?>(null)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val finished = CompletableDeferred<Unit>()
    private val lastAuthorized = AtomicLong(0)

    override val held: StateFlow<FencingToken?> = published.asStateFlow()

    override fun authorize(longestCall: Duration): FencingToken? {
        val permit = machine.permit ?: return null
        if (!permit.covers(clock.markNow(), longestCall)) {
            return null
        }
        val number = permit.fencingToken
        val highest = lastAuthorized.updateAndGet { maxOf(it, number.value) }
        check(highest == number.value) { "lease $name: fencing number $number after $highest" }
        return number
    }

    /** Runs until the lease is released or the coroutine is cancelled. */
    suspend fun run() =
        withContext(dispatcher) {
            while (step()) {
                publish(LeaseEvents.LOST)
            }
            publish(LeaseEvents.RELEASED)
            finished.complete(Unit)
        }

    /** Gives the lease up and waits up to [limit] for the object API to know; it expires by itself otherwise. */
    suspend fun release(limit: Duration = RELEASE_LIMIT) {
        withContext(dispatcher) { machine.requestRelease() }
        wake.trySend(Unit)
        withTimeoutOrNull(limit) { finished.await() }
    }

    private suspend fun step(): Boolean {
        when (val action = machine.next(eligible())) {
            is LeaseAction.Wait -> withTimeoutOrNull(action.duration) { wake.receive() }
            LeaseAction.Read -> read()
            is LeaseAction.Write -> write(action)
            LeaseAction.Finished -> return false
        }
        return true
    }

    private suspend fun read() {
        store
            .get(objectName)
            .flatMap { parse(it) }
            .fold(
                { error ->
                    log(LeaseEvents.STORE_FAILED, "read: $error")
                    machine.onReadFailed()
                },
                { (found, record) -> machine.onRead(found?.version, record) },
            )
    }

    private suspend fun write(action: LeaseAction.Write) {
        val value = WireJson.encodeToString(LeaseRecord.serializer(), action.record)
        store.put(objectName, value, action.condition).fold(
            { error ->
                log(LeaseEvents.STORE_FAILED, "write: $error")
                machine.onWriteOutcomeUnknown()
            },
            { version -> machine.onWritten(version) },
        )
    }

    private fun parse(found: StoredObject?): Either<PlatformError, Pair<StoredObject?, LeaseRecord?>> =
        try {
            (found to found?.let { WireJson.decodeFromString(LeaseRecord.serializer(), it.value) }).right()
        } catch (exception: SerializationException) {
            log(LeaseEvents.UNREADABLE, exception.message.orEmpty())
            PlatformError.Unavailable("unreadable lease object").left()
        }

    private fun publish(ended: LogEvent) {
        val now = machine.fencingToken
        val before = published.value
        if (now == before) {
            return
        }
        before?.let { log(ended, "fencing number $it") }
        now?.let { log(LeaseEvents.ACQUIRED, "fencing number $it") }
        published.value = now
    }

    private fun log(
        event: LogEvent,
        text: String,
    ) {
        logger.info { event.line("$name $text") }
    }

    companion object {
        /** Waits at shutdown for two calls to the object API. */
        val RELEASE_LIMIT: Duration = 4.seconds
    }
}
