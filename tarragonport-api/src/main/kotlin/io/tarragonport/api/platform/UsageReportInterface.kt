package io.tarragonport.api.platform

import arrow.core.Either

/** The platform's usage-report interface: one report for each organisation and window. */
interface UsageReportInterface {
    /** Reports usage. Repeating an identical report is accepted; a different one results in [PlatformError.Refused]. */
    suspend fun report(report: UsageReport): Either<PlatformError, Unit>
}
