package io.tarragonport.core.gateway.route

import io.tarragonport.api.gateway.OrganisationAccess

/** Finds the organisation that owns a caller's key. */
class KeyTable(
    organisations: List<OrganisationAccess>,
) {
    private val byKey: Map<String, OrganisationAccess> =
        organisations.flatMap { organisation -> organisation.keys.map { it to organisation } }.toMap()

    /** Whether requests need a key; false if the configuration has no organisations. */
    val required: Boolean = organisations.isNotEmpty()

    /** The organisation that owns [key], or null. */
    fun find(key: String): OrganisationAccess? = byKey[key]
}
