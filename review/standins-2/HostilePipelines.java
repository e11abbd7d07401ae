import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** A crowd at the door: each client starts a stream and sends many short requests ahead behind it. */
public final class HostilePipelines extends HostileCrowd {
    private static final int CLIENTS = 180;
    private static final int BODY_BYTES = 35_000;
    private static final int AHEAD_BYTES = 65_536;

    private final AtomicLong connections = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        new HostilePipelines().play(arguments);
    }

    @Override
    int clients() {
        return CLIENTS;
    }

    @Override
    void client(Gateway gateway, AtomicBoolean active) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String id = "h" + connections.incrementAndGet();
        out.write(("POST /stream/1 HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\n"
            + "X-Api-Key: " + Site.KEY + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[BODY_BYTES]);
        String ahead = "GET / HTTP/1.0\r\n\r\n";
        out.write(ahead.repeat(AHEAD_BYTES / ahead.length()).getBytes(StandardCharsets.ISO_8859_1));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.callerPort), 1000);
            socket.getOutputStream().write(out.toByteArray());
            for (int i = 0; i < 55 && active.get(); i++) pause(100);
        }
    }

    @Override
    String summary() {
        return CLIENTS + " clients opened " + connections.get() + " connections";
    }
}
