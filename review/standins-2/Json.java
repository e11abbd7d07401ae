import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.skipSpace();
        if (json.position != text.length()) throw new IllegalArgumentException("text behind the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** A map of alternating keys and values. */
    static Map<String, Object> object(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(position);
        if (c == '{') return objectValue();
        if (c == '[') return listValue();
        if (c == '"') return stringValue();
        int start = position;
        while (position < text.length() && ",]} \t\r\n".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        if (word.matches("-?\\d{1,18}")) return Long.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        for (skipSpace(); text.charAt(position) != '}'; skipSpace()) {
            if (text.charAt(position) == ',') position++;
            skipSpace();
            String key = stringValue();
            skipSpace();
            if (text.charAt(position++) != ':') throw new IllegalArgumentException("no colon behind a key");
            map.put(key, value());
        }
        position++;
        return map;
    }

    private List<Object> listValue() {
        List<Object> list = new ArrayList<>();
        position++;
        for (skipSpace(); text.charAt(position) != ']'; skipSpace()) {
            if (text.charAt(position) == ',') position++;
            list.add(value());
        }
        position++;
        return list;
    }

    private String stringValue() {
        StringBuilder out = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        position++;
        return out.toString();
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }
}
