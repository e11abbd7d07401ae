package io.tarragonport.api.platform

import arrow.core.Either

/** The platform's list of live and leaving VMs. */
interface VmList {
    /** Reads the list, which can be tens of seconds out of date. */
    suspend fun vms(): Either<PlatformError, List<ListedVm>>
}
