package io.tarragonport.client.document

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion

/**
 * A document parsed from a file.
 *
 * [present] are the sections in the file; `apply` does not change the others. [baseVersions] are the versions that
 * `get` wrote to the file, empty for a file written by hand.
 */
class DocumentFile(
    val document: ConfigurationDocument,
    val present: Set<DocumentSection>,
    val baseVersions: Map<SectionName, ObjectVersion>,
)
