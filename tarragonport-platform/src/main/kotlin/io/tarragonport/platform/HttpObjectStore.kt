package io.tarragonport.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectListing
import io.tarragonport.api.platform.ObjectStore
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.api.platform.StoredObject
import kotlin.time.Duration

/** HTTP client of the platform's object store. */
class HttpObjectStore(
    private val http: PlatformHttp,
) : ObjectStore {
    override suspend fun get(name: String): Either<PlatformError, StoredObject?> =
        http.call(HttpMethod.GET, objectPath(name)).flatMap { response ->
            when {
                response.status == PlatformResponse.NOT_FOUND -> null.right()
                !response.succeeded -> response.error().left()
                else -> versionOf(response).map { StoredObject(name, it, response.body) }
            }
        }

    override suspend fun put(
        name: String,
        value: String,
        condition: PutCondition,
    ): Either<PlatformError, ObjectVersion> {
        val response =
            http.call(HttpMethod.PUT, objectPath(name)) {
                when (condition) {
                    PutCondition.Absent -> header(HttpHeaderNames.IF_NONE_MATCH, "*")
                    is PutCondition.Version -> header(HttpHeaderNames.IF_MATCH, quoted(condition.version))
                }
                json(value)
            }
        return response.flatMap { writeOutcome(it).flatMap { versionOf(it) } }
    }

    override suspend fun delete(
        name: String,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> =
        http
            .call(HttpMethod.DELETE, objectPath(name)) { header(HttpHeaderNames.IF_MATCH, quoted(version)) }
            .flatMap { writeOutcome(it) }
            .map { }

    override suspend fun list(
        prefix: String,
        withValues: Boolean,
    ): Either<PlatformError, ObjectListing> =
        http
            .call(HttpMethod.GET, listOf("objects")) {
                parameter("prefix", prefix)
                parameter("values", withValues)
            }.flatMap { it.read(ObjectListing.serializer()) }

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Either<PlatformError, ObjectListing> =
        http
            .call(HttpMethod.GET, listOf("watch"), wait + http.timeouts.watchMargin) {
                parameter("prefix", prefix)
                parameter("after", after.value)
                parameter("wait_ms", wait.inWholeMilliseconds)
            }.flatMap { it.read(ObjectListing.serializer()) }

    private fun objectPath(name: String): List<String> = listOf("objects") + name.split('/')

    private fun quoted(version: ObjectVersion): String = "\"$version\""

    private fun writeOutcome(response: PlatformResponse): Either<PlatformError, PlatformResponse> =
        when {
            response.succeeded -> response.right()
            response.status == PlatformResponse.PRECONDITION_FAILED -> PlatformError.Conflict(response.version).left()
            response.status == PlatformResponse.NOT_FOUND -> PlatformError.Conflict(null).left()
            else -> response.error().left()
        }

    private fun versionOf(response: PlatformResponse): Either<PlatformError, ObjectVersion> =
        response.version?.right()
            ?: PlatformError.Unavailable("expected an ETag with a version number, got ${response.entityTag}").left()
}
