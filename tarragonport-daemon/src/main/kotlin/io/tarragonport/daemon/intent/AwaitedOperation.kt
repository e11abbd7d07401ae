package io.tarragonport.daemon.intent

import io.tarragonport.api.id.VmId
import io.tarragonport.core.intent.IntentOutcome
import kotlinx.coroutines.CompletableDeferred

/** An operation forwarded to [owner] whose outcome has not arrived yet. */
internal class AwaitedOperation(
    val owner: VmId,
    val attempt: String,
) {
    val outcome = CompletableDeferred<IntentOutcome?>()
}
