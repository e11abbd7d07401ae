package io.tarragonport.core.estimate

/** How specific the samples behind a [LengthEstimate] are, finest first. */
enum class EstimateLevel {
    ORGANISATION_AND_PROMPT,
    CLASS_AND_PROMPT,
    CLASS,
    DEFAULT,
}
