import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages. */
final class Wire {
    private Wire() {}

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads a request; null at the end of the connection. */
    static Backend.Call call(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Backend.Call call = new Backend.Call();
        String[] words = line.split(" ");
        call.method = words[0];
        call.target = words[1];
        fields(in, call.headers);
        int length = Integer.parseInt(call.headers.getOrDefault("content-length", "0"));
        call.body = in.readNBytes(length);
        if (call.body.length < length) throw new EOFException("request body");
        return call;
    }

    static void fields(InputStream in, Map<String, String> into) throws IOException {
        for (String line = line(in); ; line = line(in)) {
            if (line == null) throw new EOFException("head");
            if (line.isEmpty()) return;
            int colon = line.indexOf(':');
            into.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new EOFException("chunk");
            int length = Integer.parseInt(size.trim(), 16);
            byte[] part = in.readNBytes(length);
            if (part.length < length) throw new EOFException("chunk");
            body.write(part);
            if (line(in) == null) throw new EOFException("chunk");
            if (length == 0) return body.toByteArray();
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) return null;
            if (next == '\n') return text.length() > 0 && text.charAt(text.length() - 1) == '\r' ? text.substring(0, text.length() - 1) : text.toString();
            text.append((char) next);
        }
    }
}
