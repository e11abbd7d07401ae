import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a backend server: one request at a time on a connection, at most [slots] at once, others refused. */
class Backend implements AutoCloseable {
    /** A request as the server received it; header names are in lower case. */
    static final class Call {
        String method;
        String target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String id() {
            return headers.get("x-request-id");
        }
    }

    interface Script {
        /** Answers a request that the server runs. */
        void run(Call call, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    private final Record record;
    private final int slots;
    private final Script script;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();

    Backend(String id, int slots, Record record, Script script) throws IOException {
        this.id = id;
        this.slots = slots;
        this.record = record;
        this.script = script;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("accept-" + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int running() {
        return running.get();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Threads.start("server-" + id, () -> serve(socket));
            } catch (IOException closed) {
                // The server has ended, or the caller has left already.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Call call = Wire.call(in); call != null && !socket.isClosed(); call = Wire.call(in)) {
                handle(call, socket, out);
            }
        } catch (Exception left) {
            // The caller has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private void handle(Call call, Socket socket, OutputStream out) throws Exception {
        String expected = call.headers.get("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            Wire.write(out, refusal(call, "421 Misdirected Request"));
            return;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            record.line("refuse %s at=%s", call.id(), id);
            Wire.write(out, refusal(call, "503 Service Unavailable"));
            return;
        }
        record.line("run %s at=%s %s %s", call.id(), id, call.method, call.target);
        try {
            script.run(call, socket, out);
        } finally {
            running.decrementAndGet();
        }
    }

    static String refusal(Call call, String status) {
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + call.id() + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** The head of an answer of the server, with proof; [fields] are further lines, each with its end. */
    static String head(Call call, String status, String fields) {
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + call.id() + "\r\nX-Server-Stamp: st." + call.id() + "\r\n" + fields + "\r\n";
    }

    /** A complete answer. */
    static String answer(Call call, String body) {
        return head(call, "200 OK", "Keep-Alive: timeout=5\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n") + body;
    }

    /** Ends the server: no new connections, and the open ones are closed. */
    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
    }
}
