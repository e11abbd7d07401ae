package io.tarragonport.core.store

import io.tarragonport.api.id.StoreEra
import io.tarragonport.api.platform.StoreEraCheck

/**
 * Detects from the responses of the object store that it was restored from an older copy.
 *
 * The first era counts as new, because a store that has just begun to report eras may have been restored before. A
 * store without eras reports none and is never regarded as restored. Not thread-safe.
 */
class StoreEras : StoreEraCheck {
    private val listeners = mutableListOf<StoreEraListener>()

    /** The latest era seen; null before the first one. */
    var current: StoreEra? = null
        private set

    fun addListener(listener: StoreEraListener) {
        listeners += listener
    }

    /** Returns false if a response comes from an earlier era than one already seen. */
    override fun accept(era: StoreEra?): Boolean {
        val latest = current
        if (era == null || era == latest) return true
        if (latest != null && era < latest) return false
        current = era
        listeners.forEach { it.eraBegan(era) }
        return true
    }
}
