package io.tarragonport.core.placement

/** Whether a server runs until it is stopped (ordinary) or may be reclaimed by the platform (cheap). */
enum class CapacityKind {
    ORDINARY,
    CHEAP,
    ;

    companion object {
        fun of(cheap: Boolean): CapacityKind = if (cheap) CHEAP else ORDINARY
    }
}
