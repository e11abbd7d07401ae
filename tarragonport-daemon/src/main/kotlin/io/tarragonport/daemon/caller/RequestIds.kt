package io.tarragonport.daemon.caller

import io.tarragonport.api.id.RequestId
import io.tarragonport.api.id.VmId
import java.util.concurrent.atomic.AtomicLong

/**
 * Generates request ids that are unique in the fleet, composed of VM, process start and a counter. The `X-Request-Id`
 * of a caller is only echoed, because two callers may send the same value.
 */
class RequestIds(
    vm: VmId,
    startMs: Long,
) {
    private val prefix = "${vm.value}-${startMs.toString(RADIX)}-"
    private val counter = AtomicLong()

    fun next(): RequestId = RequestId(prefix + counter.incrementAndGet().toString(RADIX))

    companion object {
        private const val RADIX = 36
        private val ECHOED_ID = Regex("[A-Za-z0-9._:-]{1,128}")

        /** The request id in [header], as sent by the caller; null if it is not safe to echo and log. */
        fun fromCaller(header: String?): String? = header?.takeIf(ECHOED_ID::matches)
    }
}
