import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of the address that says ready, which send many requests ahead and do not read the answers. */
public final class HostileReadiness extends HostileCrowd {
    private static final int CLIENTS = 100;

    private final AtomicLong sent = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        new HostileReadiness().play(arguments);
    }

    @Override
    int clients() {
        return CLIENTS;
    }

    @Override
    void client(Gateway gateway, AtomicBoolean active) throws Exception {
        byte[] block = "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n".repeat(2000).getBytes(StandardCharsets.ISO_8859_1);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.readinessPort), 1000);
            while (active.get()) {
                socket.getOutputStream().write(block);
                sent.addAndGet(block.length);
            }
        }
    }

    @Override
    String summary() {
        return CLIENTS + " clients sent " + sent.get() / 1_000_000 + " MB of requests ahead";
    }
}
