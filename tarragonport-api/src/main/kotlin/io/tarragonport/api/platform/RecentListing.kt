package io.tarragonport.api.platform

import arrow.core.Either

/** Listings that can be some seconds out of date and cost a fraction of a current listing. */
fun interface RecentListing {
    /** Lists objects whose names start with [prefix], with their values. */
    suspend fun listRecent(prefix: String): Either<PlatformError, ObjectListing>
}
