package io.tarragonport.core.configuration

import io.tarragonport.api.configuration.KeyRecord
import io.tarragonport.api.configuration.Limit
import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Route

/** The entries of one parsed section. */
sealed interface SectionContent {
    data class Organisations(
        val entries: List<Organisation>,
    ) : SectionContent

    /** Entries of one key shard. */
    data class Keys(
        val entries: List<KeyRecord>,
    ) : SectionContent

    data class Classes(
        val entries: List<RequestClass>,
    ) : SectionContent

    data class Pools(
        val entries: List<Pool>,
    ) : SectionContent

    data class Routes(
        val entries: List<Route>,
    ) : SectionContent

    data class Limits(
        val entries: List<Limit>,
    ) : SectionContent
}
