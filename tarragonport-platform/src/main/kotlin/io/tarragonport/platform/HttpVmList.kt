package io.tarragonport.platform

import arrow.core.Either
import arrow.core.flatMap
import io.netty.handler.codec.http.HttpMethod
import io.tarragonport.api.platform.ListedVm
import io.tarragonport.api.platform.PlatformError
import io.tarragonport.api.platform.VmList

/** HTTP client of the platform's VM list. */
class HttpVmList(
    private val http: PlatformHttp,
) : VmList {
    override suspend fun vms(): Either<PlatformError, List<ListedVm>> =
        http
            .call(HttpMethod.GET, listOf("vms"))
            .flatMap { it.read(VmsResponse.serializer()) }
            .map { it.vms }
}
