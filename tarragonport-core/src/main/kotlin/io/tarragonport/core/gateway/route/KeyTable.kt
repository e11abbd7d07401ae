package io.tarragonport.core.gateway.route

import io.tarragonport.api.gateway.OrganisationAccess

/** Finds the organisation that holds a caller's key. */
class KeyTable(
    organisations: List<OrganisationAccess>,
) {
    private val byKey: Map<String, OrganisationAccess> =
        organisations.flatMap { organisation -> organisation.keys.map { it to organisation } }.toMap()

    /** False where the configuration has no organisations: then no request needs a key. */
    val required: Boolean = organisations.isNotEmpty()

    /** The organisation that holds [key], or null. */
    fun find(key: String): OrganisationAccess? = byKey[key]
}
