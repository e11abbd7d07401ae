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
    const val FIXED = "usage/fixed/"

    /** Name of the object of one process; [part] is omitted if it is 0. */
    fun vm(
        vm: VmId,
        incarnation: Incarnation,
        part: Int,
    ): String = if (part == 0) "$VMS$vm-$incarnation" else "$VMS$vm-$incarnation-$part"

    /** Prefix of the closed window objects of [shard]. */
    fun fixed(shard: Int): String = "$FIXED$shard/"

    /** Name of the object of the closed window [window] of [shard]. */
    fun fixed(
        shard: Int,
        window: UsageWindow,
    ): String = "${fixed(shard)}$window"

    /** Window of the closed window object [name]. */
    fun windowOf(name: String): UsageWindow = UsageWindow(name.substringAfterLast('/').toLong())

    /** Shard of the closed window object [name]. */
    fun shardOf(name: String): Int = name.removePrefix(FIXED).substringBefore('/').toInt()

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
