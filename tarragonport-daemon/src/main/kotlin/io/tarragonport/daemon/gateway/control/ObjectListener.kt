package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.platform.ObjectEntry

/** Receives the objects and changes that an [ObjectWatcher] reads. */
internal interface ObjectListener {
    /** Receives all objects of the kind; [afterOutage] if the object store was unavailable before. */
    fun onListing(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
    )

    /** Receives one object that was changed or deleted. */
    fun onChange(entry: ObjectEntry)

    /** The object store responds again after an outage; a listing follows. */
    fun storeRecovered()
}
