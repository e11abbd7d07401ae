package io.tarragonport.client.document

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route
import kotlinx.serialization.KSerializer

/** Sections of the document by title, with the serializer of their entries. */
enum class DocumentSection(
    val title: String,
    val serializer: KSerializer<*>,
    val entriesIn: (ConfigurationDocument) -> List<Any>,
) {
    ORGANISATIONS("organisations", Organisation.serializer(), { it.organisations }),
    KEYS("keys", KeyRecord.serializer(), { it.keys }),
    CLASSES("classes", RequestClass.serializer(), { it.classes }),
    POOLS("pools", Pool.serializer(), { it.pools }),
    ROUTES("routes", Route.serializer(), { it.routes }),
    LIMITS("limits", Limit.serializer(), { it.limits }),
    ;

    companion object {
        /** The section called [title], null if there is none. */
        fun of(title: String): DocumentSection? = entries.find { it.title == title }
    }
}
