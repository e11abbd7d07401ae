package io.tarragonport.api.platform

import arrow.core.Either

/** Listings that can be some seconds out of date, at a fraction of the platform's cost of a current listing. */
fun interface RecentListing {
    /** Lists objects whose names start with [prefix], with their values. */
    suspend fun listRecent(prefix: String): Either<PlatformError, ObjectListing>
}
