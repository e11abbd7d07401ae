import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that send bodies of legal size in chunks of one byte. */
public final class HostileChunks extends HostileCrowd {
    private static final int CLIENTS = 4;
    private static final int BODY_BYTES = 4_000_000;
    private static final int CHUNKS_PER_WRITE = 10_000;

    private final AtomicLong bodies = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        new HostileChunks().play(arguments);
    }

    @Override
    int clients() {
        return CLIENTS;
    }

    @Override
    void client(Gateway gateway, AtomicBoolean active) throws Exception {
        byte[] chunks = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.callerPort), 1000);
            String head =
                "POST /nowhere HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: c" + bodies.get()
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int sent = 0; sent < BODY_BYTES && active.get(); sent += CHUNKS_PER_WRITE) {
                socket.getOutputStream().write(chunks);
                bytes.addAndGet(CHUNKS_PER_WRITE);
            }
            bodies.incrementAndGet();
            socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            socket.setSoTimeout(4000);
            socket.getInputStream().read();
        }
    }

    @Override
    String summary() {
        return CLIENTS + " clients sent " + bodies.get() + " bodies, " + bytes.get() / 1_000_000 + " MB in chunks of one byte";
    }
}
