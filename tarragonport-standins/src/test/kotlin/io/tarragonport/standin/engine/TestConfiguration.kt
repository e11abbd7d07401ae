package io.tarragonport.standin.engine

import io.tarragonport.core.configuration.Configuration
import io.tarragonport.daemon.configuration.ConfigurationSource
import kotlinx.coroutines.flow.MutableStateFlow

/** A configuration source whose values tests set directly. */
class TestConfiguration(
    configuration: Configuration,
) : ConfigurationSource {
    override val current = MutableStateFlow<Configuration?>(configuration)
    override val isolated = MutableStateFlow(false)
}
