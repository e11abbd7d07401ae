import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A model server as a process of its own, which ends when a request with a part that crashes servers begins to be
 * answered. Its streams have neither a length nor chunks and end with their connection, unless [framed].
 */
final class Engine {
    static final String BAD_PART = "bad0bad0";

    public static void main(String[] arguments) throws Exception {
        String id = arguments[0];
        boolean crashes = Boolean.parseBoolean(arguments[2]);
        boolean framed = Boolean.parseBoolean(arguments[3]);
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), Integer.parseInt(arguments[1])), 200);
        System.out.println("listening");
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start("connection", () -> {
                try (socket) {
                    BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                    do {
                        Http.Head head = Http.head(in);
                        if (head == null) return;
                        Http.body(in, head);
                        answer(id, head, socket.getOutputStream(), crashes, framed);
                    } while (framed);
                }
            });
        }
    }

    private static void answer(String id, Http.Head head, OutputStream out, boolean crashes, boolean framed)
            throws Exception {
        String request = head.field("X-Request-Id");
        String echo = "X-Request-Id: " + request + "\r\n";
        if (!id.equals(head.field("X-Expect-Instance"))) {
            out.write(Http.bytes("HTTP/1.1 421 X\r\n" + echo + "Content-Length: 0\r\n\r\n"));
            return;
        }
        boolean bad = head.field("X-Prompt-Prefix").contains(BAD_PART);
        System.out.println((bad ? "bad " : "sound ") + request);
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + echo + Server.STAMP + "Content-Type: text/event-stream\r\n"
                + (framed ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n") + "\r\n"));
        if (bad && crashes) {
            write(out, "id: 1\nda", framed);
            System.out.println("crash " + request);
            System.out.flush();
            Runtime.getRuntime().halt(1);
        }
        for (int event = 1; event <= 10; event++) {
            write(out, "id: " + event + "\ndata: tokens\n\n", framed);
            Thread.sleep(40);
        }
        if (framed) out.write(Http.bytes("0\r\n\r\n"));
    }

    private static void write(OutputStream out, String text, boolean framed) throws Exception {
        out.write(Http.bytes(framed ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text));
        out.flush();
    }
}
