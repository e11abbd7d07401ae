import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread for each connection, and the parsing that clients share with it. */
final class Http {
    /** A message with its first line, its headers (names in lower case) and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers a request by writing to the connection; an exception closes the connection without an answer. */
    interface Handler {
        void handle(Message request, OutputStream out) throws Exception;
    }

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Http(String ip, int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        thread(this::accept);
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    void closeConnections() {
        for (Socket socket : open) closeQuietly(socket);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread(() -> serve(socket));
            } catch (IOException stopped) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = read(in, false);
                if (request == null) break;
                handler.handle(request, out);
                out.flush();
            }
        } catch (Exception ended) {
            // The connection is closed, which the other side sees.
        } finally {
            open.remove(socket);
            closeQuietly(socket);
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed anyway.
        }
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(bytes);
        out.write(message.toByteArray());
        out.flush();
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        String firstLine = line(in, true);
        if (firstLine == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream chunks = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                chunks.write(bytes(in, size));
                line(in, false);
            }
            line(in, false);
            body = chunks.toByteArray();
        } else if (headers.containsKey("content-length")) {
            body = bytes(in, Integer.parseInt(headers.get("content-length")));
        } else if (response) {
            body = in.readAllBytes();
        }
        return new Message(firstLine, headers, body);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).trim(), 16);
    }

    private static byte[] bytes(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("body ended early");
        return bytes;
    }

    private static String line(InputStream in, boolean first) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (first && line.isEmpty()) return null;
                throw new EOFException("head ended early");
            }
            if (c == '\n') return line.toString();
            if (c != '\r') line.append((char) c);
        }
    }
}
