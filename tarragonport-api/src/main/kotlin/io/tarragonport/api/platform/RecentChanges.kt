package io.tarragonport.api.platform

import arrow.core.Either
import io.tarragonport.api.id.ObjectVersion
import kotlin.time.Duration

/** Watches that can be some seconds behind and cost a fraction of a current watch. */
fun interface RecentChanges {
    /** Like [ObjectStore.watch], but changes of the last seconds may be missing; they follow in later calls. */
    suspend fun watchRecent(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing>
}
