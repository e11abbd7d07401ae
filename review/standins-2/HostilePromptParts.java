import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Clients whose requests are legal in size and have very many short prompt parts, which no two of them share. */
public final class HostilePromptParts extends HostileCrowd {
    private static final int CLIENTS = 4;
    private static final int PARTS = 1700;

    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong parts = new AtomicLong(1 << 20);

    public static void main(String[] arguments) throws Exception {
        new HostilePromptParts().play(arguments);
    }

    @Override
    int clients() {
        return CLIENTS;
    }

    @Override
    void client(Gateway gateway, AtomicBoolean active) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.callerPort), 1000);
            socket.setSoTimeout(4000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (active.get()) {
                socket.getOutputStream().write(request().getBytes(StandardCharsets.ISO_8859_1));
                Http.Message answer = Http.read(in, true);
                if (answer == null) return;
                if (answer.status() == 200) answered.incrementAndGet();
                pause(10);
            }
        }
    }

    private String request() {
        StringBuilder prefix = new StringBuilder();
        for (int i = 0; i < PARTS; i++) {
            prefix.append(i == 0 ? "" : ",").append(Long.toHexString(parts.incrementAndGet())).append(":1");
        }
        return "POST /stream/short HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: p" + requests.incrementAndGet()
            + "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: " + Site.KEY + "\r\nX-Model: m\r\nX-Token-Count: " + PARTS
            + ",1\r\nX-Prompt-Prefix: " + prefix + "\r\nContent-Length: 0\r\n\r\n";
    }

    @Override
    String summary() {
        return CLIENTS + " clients sent " + requests.get() + " requests, of which " + answered.get() + " were served";
    }
}
