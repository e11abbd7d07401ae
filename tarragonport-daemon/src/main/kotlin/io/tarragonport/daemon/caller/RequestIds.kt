package io.tarragonport.daemon.caller

import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import java.util.concurrent.atomic.AtomicLong

/**
 * Generates request ids that are unique in the fleet: VM, process start, number. The `X-Request-Id` of a caller is only
 * echoed, because two callers may send the same value.
 */
class RequestIds(
    vm: VmId,
    startMs: Long,
) {
    private val prefix = "${vm.value}-${startMs.toString(RADIX)}-"
    private val number = AtomicLong()

    fun next(): RequestId = RequestId(prefix + number.incrementAndGet().toString(RADIX))

    companion object {
        private const val RADIX = 36
        private val CHOSEN = Regex("[A-Za-z0-9._:-]{1,128}")

        /** The request id sent by the caller, if it is safe to echo and log. */
        fun chosen(header: String?): String? = header?.takeIf(CHOSEN::matches)
    }
}
