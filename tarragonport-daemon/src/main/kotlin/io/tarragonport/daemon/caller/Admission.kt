package io.tarragonport.daemon.caller

import io.tarragonport.api.configuration.Organisation
import io.tarragonport.api.configuration.Pool
import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.KeyId

/** Result of admitting a request: the billed organisation, the class and the pool; [key] is null on open routes. */
data class Admission(
    val organisation: Organisation,
    val key: KeyId?,
    val requestClass: RequestClass,
    val pool: Pool,
)
