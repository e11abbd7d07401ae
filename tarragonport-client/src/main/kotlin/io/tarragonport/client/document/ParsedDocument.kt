package io.tarragonport.client.document

import io.tarragonport.api.configuration.ConfigurationDocument
import io.tarragonport.api.configuration.SectionName
import io.tarragonport.api.id.ObjectVersion

/**
 * A document parsed from a file.
 *
 * `apply` changes only the sections in the file, [presentSections]. [baseVersions] are the section versions that `get`
 * wrote to the file; empty if the file contains none.
 */
class ParsedDocument(
    val document: ConfigurationDocument,
    val presentSections: Set<DocumentSection>,
    val baseVersions: Map<SectionName, ObjectVersion>,
)
