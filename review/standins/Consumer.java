import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a consumer with one kept channel; requests follow one another on it. */
final class Consumer implements AutoCloseable {
    /** The answer to a request, or how its channel ended: "closed", "timeout" or "refused" (no connection). */
    static final class Answer {
        String id;
        int status;
        String end = "complete";
        final Map<String, String> headers = new LinkedHashMap<>();
        String body = "";
        long ms;
        boolean keptChannel;

        @Override
        public String toString() {
            return "answer " + id + " status=" + status + " end=" + end + " bytes=" + body.length() + " ms=" + ms;
        }
    }

    private static final AtomicLong NEXT = new AtomicLong();
    private static final String RUN = Long.toHexString(System.nanoTime() & 0xffffff);
    private final String address;
    private final String key;
    private final Record record;
    private Socket socket;
    private InputStream in;

    Consumer(String address, String key, Record record) {
        this.address = address;
        this.key = key;
        this.record = record;
    }

    static String newId() {
        return RUN + String.format("%08x", NEXT.incrementAndGet());
    }

    /** Sends a request and reads its answer within [limitMs], the consumer's time limit. */
    Answer send(String method, String path, String fields, byte[] body, int limitMs) {
        Answer answer = new Answer();
        answer.id = newId();
        long start = Record.now();
        answer.keptChannel = socket != null;
        record.line("send %s to=%s %s %s kept=%s", answer.id, address, method, path, answer.keptChannel);
        try {
            if (socket == null) connect();
            OutputStream out = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Request-Id: " + answer.id + "\r\nX-Deadline-Ms: " + limitMs
                + "\r\nX-Api-Key: " + key + "\r\n" + fields + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            out.flush();
            // The answer at the time limit may arrive a little later.
            socket.setSoTimeout(limitMs + 1_000);
            read(answer);
        } catch (SocketTimeoutException late) {
            answer.end = "timeout";
            close();
        } catch (IOException failure) {
            answer.end = socket == null ? "refused" : "closed";
            close();
        }
        answer.ms = Record.now() - start;
        if ("close".equalsIgnoreCase(answer.headers.get("connection"))) close();
        record.line("%s", answer);
        return answer;
    }

    private void connect() throws IOException {
        Socket opened = new Socket();
        try {
            opened.setTcpNoDelay(true);
            opened.connect(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 1_000);
        } catch (IOException failure) {
            opened.close();
            throw failure;
        }
        socket = opened;
        in = new BufferedInputStream(opened.getInputStream());
    }

    private void read(Answer answer) throws IOException {
        String status = Wire.line(in);
        if (status == null) throw new IOException("no answer");
        answer.status = Integer.parseInt(status.split(" ")[1]);
        Wire.fields(in, answer.headers);
        byte[] body = "chunked".equalsIgnoreCase(answer.headers.get("transfer-encoding"))
            ? Wire.chunks(in)
            : in.readNBytes(Integer.parseInt(answer.headers.getOrDefault("content-length", "0")));
        answer.body = new String(body, StandardCharsets.ISO_8859_1);
        if (body.length < Integer.parseInt(answer.headers.getOrDefault("content-length", "0"))) throw new IOException("cut");
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
        socket = null;
    }
}
