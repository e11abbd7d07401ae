import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a caller to a gateway. */
final class Caller implements AutoCloseable {
    private static final AtomicLong NUMBER = new AtomicLong();
    final Socket socket = new Socket();
    final BufferedInputStream in;

    Caller(Fleet.Gateway gateway, int timeoutMs) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(gateway.ip, gateway.port), 1000);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return String.format("%016x", 0x1000_0000_0000L + NUMBER.incrementAndGet());
    }

    static String head(String method, String path, String id, long deadlineMs, long length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\nX-Api-Key: key1\r\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }

    void send(String head, byte[] body) throws IOException {
        byte[] first = Http.bytes(head);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** The response; null if the connection ends before one begins. */
    Http.Response read() throws IOException {
        return Http.response(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
