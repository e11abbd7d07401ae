package io.tarragonport.standin.platform

/** Interfaces of the platform; [wireName] identifies them in `/control/faults` and `/control/received`. */
enum class PlatformInterface(
    val wireName: String,
) {
    OBJECTS("objects"),
    BACKEND("backend"),
    USAGE("usage"),
    VMS("vms"),
    WEIGHTS("weights"),
}
