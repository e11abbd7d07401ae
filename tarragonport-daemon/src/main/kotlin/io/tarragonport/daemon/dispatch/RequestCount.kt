package io.tarragonport.daemon.dispatch

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.id.PoolId

/** Numbers of requests of one class for one pool on this VM. */
data class RequestCount(
    val pool: PoolId,
    val requestClass: RequestClass,
    val waiting: Int,
    val running: Int,
)
