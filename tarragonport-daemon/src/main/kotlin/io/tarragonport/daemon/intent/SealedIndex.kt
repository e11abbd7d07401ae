package io.tarragonport.daemon.intent

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentRecord
import io.tarragonport.core.intent.SealedRecords
import io.tarragonport.core.intent.SealedSegment
import io.tarragonport.daemon.event.logError
import io.tarragonport.daemon.store.LimitedStore

private val logger = KotlinLogging.logger {}

/**
 * Finds digests in the sealed segments of [bucket].
 *
 * Keeps 8 bytes for each sealed record; the record itself is read again when a digest matches. Used by one coroutine.
 */
internal class SealedIndex(
    private val bucket: Int,
    private val store: LimitedStore,
) {
    private val prefixes = HashMap<Int, LongArray>()

    /** Returns the sealed records of [digests] in [segments]; a later segment wins. */
    suspend fun find(
        segments: List<SealedSegment>,
        digests: Collection<String>,
    ): Either<PlatformError, Map<String, IntentRecord>> =
        either {
            prefixes.keys.retainAll(segments.mapTo(HashSet()) { it.number })
            val found = HashMap<String, IntentRecord>()
            for (segment in segments.sortedBy { it.number }) {
                val known = prefixes[segment.number] ?: index(segment, read(segment).bind())
                val matches = digests.filter { known.binarySearch(prefix(it)) >= 0 }
                if (matches.isNotEmpty()) {
                    read(segment)
                        .bind()
                        .records
                        .filter { it.digest in matches }
                        .associateByTo(found) { it.digest }
                }
            }
            found
        }

    private fun index(
        segment: SealedSegment,
        content: SealedRecords,
    ): LongArray {
        val sorted = LongArray(content.records.size) { prefix(content.records[it].digest) }
        sorted.sort()
        prefixes[segment.number] = sorted
        return sorted
    }

    private suspend fun read(segment: SealedSegment): Either<PlatformError, SealedRecords> {
        val name = IntentNames.segment(bucket, segment.number)
        return store.get(name).fold(
            { it.left() },
            { stored -> if (stored == null) missing(name) else Either.Right(decode(stored.value)) },
        )
    }

    private fun missing(name: String): Either<PlatformError, SealedRecords> {
        logger.logError(IntentEvents.SEGMENT_MISSING) { "$name is listed in its bucket head but does not exist" }
        return PlatformError.Unavailable("$name does not exist").left()
    }

    private fun decode(value: String): SealedRecords = WireJson.decodeFromString(SealedRecords.serializer(), value)

    private fun prefix(digest: String): Long = digest.take(PREFIX_DIGITS).toULong(HEX_RADIX).toLong()

    private companion object {
        const val PREFIX_DIGITS = 16
        const val HEX_RADIX = 16
    }
}
