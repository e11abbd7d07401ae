package io.tarragonport.tool.bench

import io.tarragonport.api.configuration.RequestClass
import io.tarragonport.api.configuration.Tier
import io.tarragonport.api.id.RequestClassId

/** Deployments that the bench simulates: the two example deployments and a larger one. */
enum class Deployment(
    val label: String,
    val servers: Int,
    val organisations: Int,
    val classes: List<ClassTraffic>,
) {
    CHIMENEAS(
        "chimeneas",
        servers = 12,
        organisations = 10,
        classes =
            listOf(
                ClassTraffic(
                    shortOutputClass("quick-chat", 1, 1_300, 20_000),
                    0.50,
                    768,
                    150,
                    sharedBlocks = 2,
                    quick = true,
                ),
                ClassTraffic(shortOutputClass("price-lookup", 2, 2_000, 5_000), 0.30, 256, 20, sharedBlocks = 1),
                ClassTraffic(longOutputClass("liner-takeoff", 3, 90_000), 0.12, 2_500, 700, sharedBlocks = 2),
                ClassTraffic(longOutputClass("drawing-review", 4, 180_000), 0.08, 6_000, 1_500, sharedBlocks = 4),
            ),
    ),
    ORAHOVICA(
        "orahovica",
        servers = 6,
        organisations = 10,
        classes =
            listOf(
                ClassTraffic(
                    shortOutputClass("inspection-question", 1, 1_300, 20_000),
                    0.60,
                    700,
                    120,
                    sharedBlocks = 2,
                    quick = true,
                ),
                ClassTraffic(shortOutputClass("belt-stop-note", 2, 1_000, 5_000), 0.15, 300, 25, sharedBlocks = 1),
                ClassTraffic(longOutputClass("handover-note", 3, 120_000), 0.25, 3_000, 800, sharedBlocks = 3),
            ),
    ),
    LARGE(
        "large",
        servers = 60,
        organisations = 60,
        classes = CHIMENEAS.classes,
    ),
}

private fun shortOutputClass(
    id: String,
    tier: Int,
    firstTokenMs: Long,
    deadlineMs: Long,
) = RequestClass(RequestClassId(id), Tier(tier), firstTokenMs = firstTokenMs, deadlineMs = deadlineMs)

private fun longOutputClass(
    id: String,
    tier: Int,
    deadlineMs: Long,
) = RequestClass(RequestClassId(id), Tier(tier), deadlineMs = deadlineMs, longOutput = true)
