package io.tarragonport.tool.capacity

/** Upper limits of the control work of each VM at the largest size that the design supports. */
object ProbeBounds {
    const val CPU_CORE_PERCENT = 1.4
    const val MEMORY_BYTES = 256.0 * 1024 * 1024
    const val BYTES_PER_SECOND = 3_000.0
    const val OBJECT_BYTES = 1_000_000.0
    const val PROPAGATION_SECONDS = 15.0
}
