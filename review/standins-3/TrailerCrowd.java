import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients sends requests in chunks whose trailers consist of very many short fields, and stops short of their
 * end. Ordinary callers must be served, and no gateway may end or hang.
 */
final class TrailerCrowd {
    private static final int CLIENTS = 700;

    /** Four bytes each, line ends included: together they are within the limit of 16,384 bytes. */
    private static final int FIELDS = 4_000;
    private static final int LENGTH_S = 40;
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, 2)) {
            fleet.configure("[" + Fleet.route("post", "non_idempotent", 4000, 400, "quick", 1, "") + ","
                    + Ordinary.ROUTE + "]", "[" + Ordinary.SERVICE + "]");
            Ordinary ordinary = new Ordinary(fleet);
            fleet.start();
            long end = Threads.elapsedMs() + LENGTH_S * 1_000;
            ordinary.start(end);
            byte[] trailers = Http.bytes("a:\r\n".repeat(FIELDS));
            for (Fleet.Gateway gateway : fleet.gateways) {
                for (int number = 0; Fleet.TROUBLE && number < CLIENTS; number++) {
                    Threads.start("client", () -> client(gateway, trailers, end));
                }
            }
            ordinary.watch(end);
            fleet.note("requests of the crowd: " + SENT + " sent, " + REFUSED + " refused or closed");
            return ordinary.judge();
        }
    }

    private static void client(Fleet.Gateway gateway, byte[] trailers, long end) {
        while (Threads.elapsedMs() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(gateway.ip, gateway.port), 3_000);
                socket.setSoTimeout(6_000);
                OutputStream out = socket.getOutputStream();
                out.write(Http.bytes("POST /post/a HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: " + Caller.newId()
                        + "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\nbody\r\n0\r\n"));
                out.write(trailers);
                SENT.incrementAndGet();
                socket.getInputStream().read(new byte[1_000]);
                REFUSED.incrementAndGet();
            } catch (IOException exception) {
                Threads.sleep(100);
            }
        }
    }
}
