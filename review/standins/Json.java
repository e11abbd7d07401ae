import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are kept as their text. */
final class Json {
    record Number(String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder out = new StringBuilder("{");
            map.forEach((key, item) -> out.append(out.length() > 1 ? "," : "").append(quote(key.toString())).append(':').append(write(item)));
            return out.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder out = new StringBuilder("[");
            list.forEach(item -> out.append(out.length() > 1 ? "," : "").append(write(item)));
            return out.append(']').toString();
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    private static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char character : text.toCharArray()) {
            if (character == '"' || character == '\\') out.append('\\').append(character);
            else if (character < ' ') out.append(String.format("\\u%04x", (int) character));
            else out.append(character);
        }
        return out.append('"').toString();
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(at);
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> new Number(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        for (skipSpace(); text.charAt(at) != '}'; skipSpace()) {
            String key = string();
            skipSpace();
            at++;
            result.put(key, value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        at++;
        for (skipSpace(); text.charAt(at) != ']'; skipSpace()) {
            result.add(value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char character = text.charAt(at++);
            if (character != '\\') {
                out.append(character);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
