package io.tarragonport.api.gateway

import arrow.core.Either
import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.VmId
import io.tarragonport.api.platform.PlatformError

/** Calls that one VM at a time makes, under a lease whose fencing number each call carries. */
interface DutyInterface {
    /** Reports a usage window; an exact repeat has no effect. */
    suspend fun report(
        holder: VmId,
        fencingToken: FencingToken,
        report: WindowReport,
    ): Either<PlatformError, Unit>

    /** Orders a number of servers; [PlatformError.Refused] if the platform has none to give at the moment. */
    suspend fun order(
        holder: VmId,
        fencingToken: FencingToken,
        order: ServerCountOrder,
    ): Either<PlatformError, Unit>
}
