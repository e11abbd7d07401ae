package io.tarragonport.daemon.configuration

import io.tarragonport.core.configuration.Configuration
import kotlinx.coroutines.flow.StateFlow

/** Provides the active configuration. */
interface ConfigurationSource {
    /** The active snapshot; null until all sections are loaded. Versions never decrease. */
    val current: StateFlow<Configuration?>

    /**
     * True while neither the platform nor any peer responds, so that a newer configuration may have been missed.
     */
    val isolated: StateFlow<Boolean>
}
