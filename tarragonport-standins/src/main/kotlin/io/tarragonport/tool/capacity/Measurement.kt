package io.tarragonport.tool.capacity

import kotlinx.serialization.Serializable

/** The [value] measured at a [size], for example at a number of VMs; [Series.sizeUnit] names its unit. */
@Serializable
data class Measurement(
    val size: Int,
    val value: Double,
)
