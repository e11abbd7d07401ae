package io.tarragonport.api.platform

import io.tarragonport.api.id.StoreEra

/** Receives the era of each response of an [ObjectStore] before the content of the response is used. */
fun interface StoreEraCheck {
    /** Whether a response of [era] may be used; [era] is null if the response has none. */
    fun accept(era: StoreEra?): Boolean
}
