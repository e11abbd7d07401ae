package io.tarragonport.core.estimate

import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.RequestClassId

/**
 * Key of an output-length histogram. [octave] is the bit length of the prompt's token count; it and [organisation] are
 * null in coarser keys.
 */
internal data class LengthKey(
    val requestClass: RequestClassId,
    val organisation: OrganisationId?,
    val octave: Int?,
)
