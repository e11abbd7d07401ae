package io.tarragonport.api.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/**
 * JSON format of configuration and settings: comments and trailing commas are allowed, names are in snake case, unknown
 * fields are rejected.
 */
val ConfigurationJson: Json =
    Json {
        allowComments = true
        allowTrailingComma = true
        encodeDefaults = false
        explicitNulls = false
        ignoreUnknownKeys = false
        namingStrategy = JsonNamingStrategy.SnakeCase
    }

/**
 * JSON format of the HTTP interfaces of the platform and of backend servers: names are in snake case, unknown fields
 * are ignored.
 */
val WireJson: Json =
    Json {
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = true
        namingStrategy = JsonNamingStrategy.SnakeCase
    }
