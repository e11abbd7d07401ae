package io.tarragonport.core.configuration.validation

import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * Compares a JSON value with the structure that a serializer expects and reports all unknown and missing fields, not
 * only the first.
 */
class FieldChecker(
    private val report: (path: String, message: String) -> Unit,
) {
    /** Reports every difference between [value], found at [path], and [descriptor]. */
    fun check(
        path: String,
        value: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        when {
            descriptor.isInline -> check(path, value, descriptor.getElementDescriptor(0))
            descriptor.kind == StructureKind.CLASS -> checkObject(path, value, descriptor)
            descriptor.kind == StructureKind.LIST -> checkArray(path, value, descriptor)
        }
    }

    private fun checkObject(
        path: String,
        value: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        if (value !is JsonObject) {
            report(path, "must be an object")
            return
        }
        val fields = (0 until descriptor.elementsCount).associateBy { fieldName(descriptor.getElementName(it)) }
        value.keys.filter { it !in fields }.forEach { report("$path/$it", "unknown field \"$it\"") }
        fields.forEach { (name, index) ->
            val element = value[name]
            if (element != null) {
                check("$path/$name", element, descriptor.getElementDescriptor(index))
            } else if (!descriptor.isElementOptional(index)) {
                report(path, "field \"$name\" is missing")
            }
        }
    }

    private fun checkArray(
        path: String,
        value: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        if (value !is JsonArray) {
            report(path, "must be an array")
            return
        }
        value.forEachIndexed { index, element -> check("$path/$index", element, descriptor.getElementDescriptor(0)) }
    }

    private fun fieldName(property: String): String = property.replace(UPPER_CASE) { "_" + it.value.lowercase() }

    private companion object {
        val UPPER_CASE = Regex("[A-Z]")
    }
}
