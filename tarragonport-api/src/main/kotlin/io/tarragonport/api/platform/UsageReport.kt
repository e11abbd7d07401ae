package io.tarragonport.api.platform

import io.tarragonport.api.id.FencingToken
import io.tarragonport.api.id.OrganisationId
import io.tarragonport.api.id.UsageWindow
import io.tarragonport.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Tokens of one organisation in one window; the late parts were served in earlier windows and are included in the
 * totals.
 */
@Serializable
data class UsageReport(
    val organisation: OrganisationId,
    val window: UsageWindow,
    val promptTokens: Long,
    val generatedTokens: Long,
    val requests: Long,
    val latePromptTokens: Long = 0,
    val lateGeneratedTokens: Long = 0,
    val reporter: VmId,
    @SerialName("fencingNumber")
    val fencingToken: FencingToken,
)
