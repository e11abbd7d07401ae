package io.tarragonport.core.lease

import com.google.common.hash.Hashing
import io.tarragonport.api.id.FencingToken
import kotlin.time.Clock

/**
 * Derives tokens from the wall clock and the owner, for an object store that can be restored from an older copy.
 *
 * The upper bits count intervals of [TICK_MS] of [wallClock], so that a token is higher than earlier ones whose record
 * the store has lost. The lower bits identify the owner, so that two processes which know the same highest token do not
 * choose the same next one. Tokens stay below 2^53, because the store may keep numbers as 64-bit floating point.
 */
class ClockFencingTokens(
    owner: LeaseOwner,
    private val wallClock: Clock,
) : FencingTokenSource {
    private val ownerBits =
        Hashing
            .murmur3_128()
            .hashString("${owner.vm}/${owner.incarnation}", Charsets.UTF_8)
            .asLong() and OWNER_MASK

    override fun after(highest: FencingToken): FencingToken {
        val ticks = maxOf(wallClock.now().toEpochMilliseconds() / TICK_MS, (highest.value shr OWNER_BITS) + 1)
        return FencingToken((ticks shl OWNER_BITS) or ownerBits)
    }

    private companion object {
        const val TICK_MS = 100L
        const val OWNER_BITS = 18
        const val OWNER_MASK = (1L shl OWNER_BITS) - 1
    }
}
