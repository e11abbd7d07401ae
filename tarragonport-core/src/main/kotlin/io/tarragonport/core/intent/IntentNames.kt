package io.tarragonport.core.intent

import com.google.common.hash.Hashing
import io.tarragonport.api.id.OrganisationId

/** Digests of idempotency keys and the names of the objects that store intents. */
object IntentNames {
    /** Number of bucket objects; fixed, because the bucket of a key must not change within its retention. */
    const val BUCKETS = 64

    private const val HEX_RADIX = 16
    private const val BUCKET_DIGITS = 2

    /** Digest of [idempotencyKey] of [organisation]; the length prefix makes the encoding of a pair unambiguous. */
    fun digest(
        organisation: OrganisationId,
        idempotencyKey: String,
    ): String {
        val text = "${organisation.value.length}:${organisation.value}:$idempotencyKey"
        return Hashing.sha256().hashString(text, Charsets.UTF_8).toString()
    }

    /** Bucket number of [digest]. */
    fun bucket(digest: String): Int = digest.take(BUCKET_DIGITS).toInt(HEX_RADIX) % BUCKETS

    /** Name of the head object of [bucket]. */
    fun head(bucket: Int): String = "intents/$bucket/head"

    /** Name of segment [number] of [bucket]. */
    fun segment(
        bucket: Int,
        number: Int,
    ): String = "intents/$bucket/sealed-$number"

    /** Name of the response object of [digest]. */
    fun response(digest: String): String = "intents/answers/$digest"
}
