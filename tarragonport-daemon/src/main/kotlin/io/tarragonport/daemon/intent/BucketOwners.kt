package io.tarragonport.daemon.intent

import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentNames
import io.tarragonport.core.membership.RendezvousSelection
import io.tarragonport.daemon.membership.LiveVm

/** The owner of every bucket among [live], by rendezvous hashing. */
internal class BucketOwners(
    val live: List<LiveVm>,
) {
    private val owners =
        List(IntentNames.BUCKETS) {
            RendezvousSelection.choose(
                "intents/$it",
                live.map { vm ->
                    vm.id
                },
            )
        }

    fun of(bucket: Int): VmId? = owners[bucket]
}
