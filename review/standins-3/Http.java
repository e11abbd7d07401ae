import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads messages of HTTP/1.1 from a socket. */
final class Http {
    /** The head of a request or response; names of fields are in lowercase. */
    static final class Head {
        String first;
        final Map<String, String> fields = new LinkedHashMap<>();

        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        long length() {
            String value = field("Content-Length");
            return value == null ? 0 : Long.parseLong(value.trim());
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** A complete response. */
    record Response(Head head, byte[] body) {
        int status() {
            return head.status();
        }
    }

    /** Reads a head; null at the end of the input. */
    static Head head(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Head head = new Head();
        head.first = line;
        while (true) {
            line = line(in);
            if (line == null) throw new EOFException("the head is not complete");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.fields.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static byte[] body(InputStream in, Head head) throws IOException {
        String coding = head.field("Transfer-Encoding");
        if (coding == null) return exactly(in, (int) head.length());
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("the body is not complete");
            int size = Integer.parseInt(line.trim(), 16);
            if (size == 0) break;
            out.write(exactly(in, size));
            line(in);
        }
        line(in);
        return out.toByteArray();
    }

    /** Reads a response; null if the connection ends before it begins. */
    static Response response(InputStream in) throws IOException {
        Head head = head(in);
        return head == null ? null : new Response(head, body(in, head));
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body is not complete");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.length() == 0) return null;
                throw new EOFException("the line is not complete");
            }
            if (c == '\n') break;
            line.append((char) c);
        }
        int end = line.length();
        if (end > 0 && line.charAt(end - 1) == '\r') line.setLength(end - 1);
        return line.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
