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
    /** Reports every difference between [value], found at [path], and [shape]. */
    fun check(
        path: String,
        value: JsonElement,
        shape: SerialDescriptor,
    ) {
        when {
            shape.isInline -> check(path, value, shape.getElementDescriptor(0))
            shape.kind == StructureKind.CLASS -> checkObject(path, value, shape)
            shape.kind == StructureKind.LIST -> checkArray(path, value, shape)
        }
    }

    private fun checkObject(
        path: String,
        value: JsonElement,
        shape: SerialDescriptor,
    ) {
        if (value !is JsonObject) {
            report(path, "must be an object")
            return
        }
        val fields = (0 until shape.elementsCount).associateBy { fieldName(shape.getElementName(it)) }
        value.keys.filter { it !in fields }.forEach { report("$path/$it", "unknown field \"$it\"") }
        fields.forEach { (name, index) ->
            val element = value[name]
            if (element != null) {
                check("$path/$name", element, shape.getElementDescriptor(index))
            } else if (!shape.isElementOptional(index)) {
                report(path, "field \"$name\" is missing")
            }
        }
    }

    private fun checkArray(
        path: String,
        value: JsonElement,
        shape: SerialDescriptor,
    ) {
        if (value !is JsonArray) {
            report(path, "must be an array")
            return
        }
        value.forEachIndexed { index, element -> check("$path/$index", element, shape.getElementDescriptor(0)) }
    }

    private fun fieldName(property: String): String = property.replace(UPPER_CASE) { "_" + it.value.lowercase() }

    private companion object {
        val UPPER_CASE = Regex("[A-Z]")
    }
}
