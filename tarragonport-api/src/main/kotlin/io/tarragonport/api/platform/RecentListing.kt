package io.tarragonport.api.platform

import arrow.core.Either

/** Listings that may be some seconds old and cost the platform a fraction of a current one. */
fun interface RecentListing {
    /** Lists objects whose names start with [prefix], with their values. */
    suspend fun listRecent(prefix: String): Either<PlatformError, ObjectListing>
}
