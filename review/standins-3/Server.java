import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in for a backend server. What it does with a request is up to its [Script]. */
final class Server {
    /** One request at a server; its body is still to be read. */
    static final class Call {
        final Http.Head head;
        final BufferedInputStream in;
        final OutputStream out;
        final Socket socket;

        private Call(Http.Head head, BufferedInputStream in, Socket socket) throws IOException {
            this.head = head;
            this.in = in;
            this.socket = socket;
            out = socket.getOutputStream();
        }

        String id() {
            return head.field("X-Request-Id");
        }

        byte[] body() throws IOException {
            return Http.body(in, head);
        }

        void answer(int status, String fields, String body) throws IOException {
            out.write(Http.bytes("HTTP/1.1 " + status + " X\r\nX-Request-Id: " + id() + "\r\n" + fields
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body));
            out.flush();
        }
    }

    /** Handles one request; returns false if the connection is to be closed. */
    interface Script {
        boolean handle(Call call) throws Exception;
    }

    static final String STAMP = "X-Server-Stamp: 1.2.3.4\r\n";
    final String id;
    final String address;
    private final ServerSocket listener;

    Server(String id, int receiveBuffer, Script script) throws IOException {
        this.id = id;
        listener = new ServerSocket();
        if (receiveBuffer > 0) listener.setReceiveBufferSize(receiveBuffer);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 500);
        address = "127.0.0.1:" + listener.getLocalPort();
        Threads.start("server " + id, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("connection of " + id, () -> serve(socket, script));
            }
        });
    }

    private void serve(Socket socket, Script script) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.head(in);
                if (head == null) return;
                Call call = new Call(head, in, socket);
                String expected = head.field("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    call.body();
                    call.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                } else if (!script.handle(call)) {
                    return;
                }
            }
        }
    }

    /** The server's entry in the store. */
    static Map<String, Object> entry(String service, String address, int slots, String state) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", address);
        entry.put("zone", "a");
        entry.put("version", "v1");
        entry.put("slots", slots);
        entry.put("state", state);
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", 1);
        entry.put("born", 1_700_000_000_000L);
        return entry;
    }
}
