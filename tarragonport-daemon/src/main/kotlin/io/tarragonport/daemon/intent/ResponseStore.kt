package io.tarragonport.daemon.intent

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.PutCondition
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.intent.IntentRecord
import io.tarragonport.core.intent.ResponseObject
import io.tarragonport.core.intent.StoredResponse
import io.tarragonport.daemon.store.TimeoutStore

/** Stores responses that are too large for the bucket head, each in an object of its own. */
internal class ResponseStore(
    private val store: TimeoutStore,
) {
    /** Writes [content], replacing the response of an expired record of the same key if one is left over. */
    suspend fun write(
        digest: String,
        content: ResponseObject,
    ): Either<PlatformError, Unit> {
        val name = IntentNames.response(digest)
        val value = WireJson.encodeToString(ResponseObject.serializer(), content)
        val created = store.put(name, value, PutCondition.Absent).map { }
        if (created.leftOrNull() !is PlatformError.Conflict) {
            return created
        }
        val present = store.get(name).getOrElse { return it.left() }
        return when {
            present == null -> store.put(name, value, PutCondition.Absent)
            present.value == value -> Either.Right(present.version)
            else -> store.put(name, value, PutCondition.Version(present.version))
        }.map { }
    }

    /** Reads the response of [record]; null if the object does not exist or belongs to another attempt. */
    suspend fun read(record: IntentRecord): Either<PlatformError, StoredResponse?> =
        store.get(IntentNames.response(record.digest)).map { stored ->
            stored?.let { decode(it.value) }?.takeIf { it.attempt == record.attempt }?.answer
        }

    /** Tries to delete the response of an expired [record]; a leftover is replaced when the key is used again. */
    suspend fun remove(record: IntentRecord) {
        val stored = store.get(IntentNames.response(record.digest)).getOrNull() ?: return
        if (decode(stored.value).attempt == record.attempt) {
            store.delete(stored.name, stored.version)
        }
    }

    private fun decode(value: String) = WireJson.decodeFromString(ResponseObject.serializer(), value)
}
