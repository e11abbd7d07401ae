package io.tarragonport.daemon.gateway.control

import io.tarragonport.api.platform.ObjectEntry

/** Takes what a [KindWatch] learns of its kind. */
internal interface KindFollower {
    /** All objects of the kind; [afterOutage] if the store was away before. */
    fun listed(
        objects: List<ObjectEntry>,
        afterOutage: Boolean,
    )

    /** One object changed or was removed. */
    fun changed(entry: ObjectEntry)

    /** The store answers again after an outage; a listing follows. */
    fun storeRecovered()
}
