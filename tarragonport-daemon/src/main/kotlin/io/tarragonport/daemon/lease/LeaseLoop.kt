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
import io.tarragonport.core.lease.FencingTokenSource
import io.tarragonport.core.lease.LeaseAction
import io.tarragonport.core.lease.LeaseOwner
import io.tarragonport.core.lease.LeaseRecord
import io.tarragonport.core.lease.LeaseSettings
import io.tarragonport.core.lease.LeaseStateMachine
import io.tarragonport.core.lease.SequentialFencingTokens
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
 * Acquires, renews and releases one lease through the object store.
 *
 * [name] identifies the lease, for example `orders/lima`; its object is `leases/{name}`. [dispatcher] is the
 * single-threaded dispatcher of control loops. [eligible] decides whether this VM may acquire a free lease.
 */
class LeaseLoop(
    private val name: String,
    owner: LeaseOwner,
    private val store: ObjectStore,
    private val dispatcher: CoroutineDispatcher,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    settings: LeaseSettings = LeaseSettings(),
    tokens: FencingTokenSource = SequentialFencingTokens,
    private val eligible: () -> Boolean = { true },
) : LeaseGuard {
    private val objectName = "leases/$name"
    private val stateMachine = LeaseStateMachine(owner, settings, clock, tokens)
    private val mutableHeldToken = MutableStateFlow<FencingToken?>(null)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val finished = CompletableDeferred<Unit>()
    private val lastAuthorized = AtomicLong(0)

    /** The highest fencing token known to this VM, of any holder. */
    val highestToken: FencingToken get() = stateMachine.highestFencingToken

    override val heldToken: StateFlow<FencingToken?> = mutableHeldToken.asStateFlow()

    override fun heldFor(): Duration? = stateMachine.heldSince?.elapsedNow()

    override fun authorize(longestCall: Duration): FencingToken? {
        val permit = stateMachine.permit ?: return null
        if (!permit.covers(clock.markNow(), longestCall)) {
            return null
        }
        val token = permit.fencingToken
        val highest = lastAuthorized.updateAndGet { maxOf(it, token.value) }
        check(highest == token.value) { "lease $name: fencing token $token is lower than earlier token $highest" }
        return token
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

    /** Releases the lease and waits up to [timeout] until the release is written; otherwise the lease expires. */
    suspend fun release(timeout: Duration = RELEASE_TIMEOUT) {
        withContext(dispatcher) { stateMachine.requestRelease() }
        wake.trySend(Unit)
        withTimeoutOrNull(timeout) { finished.await() }
    }

    /** Gives up the lease because the store was restored from an older copy; called on the dispatcher. */
    fun storeRestored() {
        stateMachine.onStoreRestored()
        publish(LeaseEvents.LOST)
        wake.trySend(Unit)
    }

    /** Takes note of the highest fencing token that another VM knows; called on the dispatcher. */
    fun tokenSeen(token: FencingToken) = stateMachine.onTokenSeen(token)

    private suspend fun step(): Boolean {
        when (val action = stateMachine.next(eligible())) {
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
                    stateMachine.onReadFailed()
                },
                { (found, record) -> stateMachine.onRead(found?.version, record) },
            )
    }

    private suspend fun write(action: LeaseAction.Write) {
        val value = WireJson.encodeToString(LeaseRecord.serializer(), action.record)
        store.put(objectName, value, action.condition).fold(
            { error ->
                log(LeaseEvents.STORE_FAILED, "write: $error")
                stateMachine.onWriteOutcomeUnknown()
            },
            { version -> stateMachine.onWritten(version) },
        )
    }

    private fun parse(found: StoredObject?): Either<PlatformError, Pair<StoredObject?, LeaseRecord?>> =
        try {
            (found to found?.let { WireJson.decodeFromString(LeaseRecord.serializer(), it.value) }).right()
        } catch (exception: SerializationException) {
            log(LeaseEvents.UNREADABLE, exception.message.orEmpty())
            PlatformError.Unavailable("lease object cannot be parsed").left()
        }

    /** Publishes and logs a change of the held lease; [endEvent] is the event to log if the lease has ended. */
    private fun publish(endEvent: LogEvent) {
        val now = stateMachine.fencingToken
        val before = mutableHeldToken.value
        if (now == before) {
            return
        }
        before?.let { log(endEvent, "fencing token $it") }
        now?.let { log(LeaseEvents.ACQUIRED, "fencing token $it") }
        mutableHeldToken.value = now
    }

    private fun log(
        event: LogEvent,
        text: String,
    ) {
        logger.info { event.line("$name $text") }
    }

    companion object {
        /** Allows for two calls to the object store at shutdown. */
        val RELEASE_TIMEOUT: Duration = 4.seconds
    }
}
