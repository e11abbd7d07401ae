package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.id.ObjectVersion
import io.tarragonport.api.platform.ObjectEntry

/** Receives the objects and changes that an [ObjectWatcher] reads. */
internal interface ObjectListener {
    /**
     * Receives all objects of the kind as of [revision]; [afterOutage] if the object store was unavailable before.
     */
    fun onListing(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
        revision: ObjectVersion = ObjectVersion.NONE,
    )

    /** Receives one object that was changed or deleted. */
    fun onChange(entry: ObjectEntry)

    /** The object store does not respond any more. */
    fun storeLost()

    /** The object store responds again, possibly after a short interruption. */
    fun storeRegained()

    /** The object store was restored from an older copy: versions of before are void, and a listing follows. */
    fun storeRestored()

    /** The object store responds again after an outage in which entries may have expired; a listing follows. */
    fun storeRecovered()
}
