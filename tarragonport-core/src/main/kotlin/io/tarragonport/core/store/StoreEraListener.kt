package io.tarragonport.core.store

import io.tarragonport.api.id.StoreEra

/** Holds state that depends on the content of the object store. */
fun interface StoreEraListener {
    /**
     * A response of [era] was received for the first time, so writes of earlier eras may be lost and their versions are
     * void. Called before the content of that response is used, on the thread of the store's caller.
     */
    fun eraBegan(era: StoreEra)
}
