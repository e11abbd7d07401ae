package io.tarragonport.daemon.caller

import io.tarragonport.api.configuration.KeyRecord

/** Identity of a caller: the key of the request and its configured [record]; both are null without a key. */
class CallerIdentity(
    val record: KeyRecord?,
    val key: CallerKey?,
)
