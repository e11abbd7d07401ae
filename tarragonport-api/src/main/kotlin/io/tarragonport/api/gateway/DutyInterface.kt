package io.tarragonport.api.gateway

import arrow.core.Either
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PlatformError

/** Platform calls reserved for the one VM that holds the duty lease; each call carries the lease's fencing token. */
interface DutyInterface {
    /** Reports a usage window; repeating an identical report has no effect. */
    suspend fun report(
        holder: VmId,
        fencingToken: FencingToken,
        report: WindowReport,
    ): Either<PlatformError, Unit>

    /** Sets the number of servers; [PlatformError.Refused] if the platform has none available at the moment. */
    suspend fun order(
        holder: VmId,
        fencingToken: FencingToken,
        order: ServerCountOrder,
    ): Either<PlatformError, Unit>
}
