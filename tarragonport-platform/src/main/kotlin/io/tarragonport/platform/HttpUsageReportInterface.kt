package io.tarragonport.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.configuration.WireJson
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.UsageReport
import io.tarragonport.api.platform.UsageReportInterface

/** HTTP client of the platform's usage-report interface. */
class HttpUsageReportInterface(
    private val http: PlatformHttp,
) : UsageReportInterface {
    override suspend fun report(report: UsageReport): Either<PlatformError, Unit> {
        val path = listOf("usage", report.organisation.value, report.window.toString())
        val json = WireJson.encodeToString(UsageReport.serializer(), report)
        return http
            .call(HttpMethod.PUT, path) { json(json) }
            .flatMap {
                if (it.status == PlatformResponse.CONFLICT) PlatformError.Refused(it.body).left() else it.acknowledge()
            }
    }
}
