package io.tarragonport.platform

/** Query, headers and body of one call to the platform. */
class PlatformRequest internal constructor() {
    internal val parameters = mutableListOf<Pair<String, String>>()
    internal val headers = mutableListOf<Pair<String, String>>()

    /** The JSON body, null if there is none. */
    internal var body: String? = null
        private set

    /** Checked once the connection is open; nothing is sent unless it holds. */
    internal var permitted: () -> Boolean = { true }
        private set

    /** Adds a query parameter. */
    fun parameter(
        name: String,
        value: Any,
    ) {
        parameters += name to value.toString()
    }

    /** Adds a header. */
    fun header(
        name: CharSequence,
        value: Any,
    ) {
        headers += name.toString() to value.toString()
    }

    /** Sets the body to [text], which is JSON. */
    fun json(text: String) {
        body = text
    }

    /** Sends the call only if [condition] holds immediately before it is written. */
    fun onlyIf(condition: () -> Boolean) {
        permitted = condition
    }
}
