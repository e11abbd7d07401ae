package io.tarragonport.core.usage

import com.google.common.hash.Hashing
import io.tarragonport.api.id.Incarnation
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.id.VmId

/** Names of the objects that store usage, and the shard of an organisation. */
object UsageNames {
    /** Prefix of the process objects. */
    const val VMS = "usage/vms/"

    /** Prefix of the closed window objects of all shards. */
    const val CLOSED_WINDOWS = "usage/fixed/"

    /** Name of the object of one process; [objectNumber] is omitted if it is 0. */
    fun vm(
        vm: VmId,
        incarnation: Incarnation,
        objectNumber: Int,
    ): String = if (objectNumber == 0) "$VMS$vm-$incarnation" else "$VMS$vm-$incarnation-$objectNumber"

    /** Prefix of the closed window objects of [shard]. */
    fun closedWindow(shard: Int): String = "$CLOSED_WINDOWS$shard/"

    /** Name of the object of the closed window [window] of [shard]. */
    fun closedWindow(
        shard: Int,
        window: UsageWindow,
    ): String = "${closedWindow(shard)}$window"

    /** Window of the closed window object [name]. */
    fun windowOf(name: String): UsageWindow = UsageWindow(name.substringAfterLast('/').toLong())

    /** Shard of the closed window object [name]. */
    fun shardOf(name: String): Int = name.removePrefix(CLOSED_WINDOWS).substringBefore('/').toInt()

    /** Name of the [ReportedCursor] object of [shard]. */
    fun reported(shard: Int): String = "usage/reported/$shard"

    /** Shard of [organisation] among [shards]; the number of shards must not change while windows are open. */
    fun shard(
        organisation: OrganisationId,
        shards: Int,
    ): Int {
        val hash = Hashing.murmur3_128().hashString(organisation.value, Charsets.UTF_8)
        return Math.floorMod(hash.asLong(), shards.toLong()).toInt()
    }
}
