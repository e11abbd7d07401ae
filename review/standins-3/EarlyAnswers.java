import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer long requests before they have read them, and read the rest slowly. Callers send bodies of legal size.
 * Ordinary callers of another service, whose servers are sound and fast, must be served, and no gateway may end or hang.
 */
final class EarlyAnswers {
    private static final int SENDERS = 24;
    private static final int BODY = 4 * 1024 * 1024;
    private static final int READ_PER_SECOND = 32 * 1024;
    private static final int LENGTH_S = 50;
    private static final AtomicInteger ANSWERED = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, 2)) {
            fleet.configure("[" + Fleet.route("post", "non_idempotent", 4000, 400, "app", 1, "") + ","
                    + Ordinary.ROUTE + "]",
                    "[{\"name\": \"app\", \"health_path\": \"/healthz\", \"max_connections\": 100},"
                    + Ordinary.SERVICE + "]");
            AtomicInteger received = new AtomicInteger();
            for (int number = 0; number < 3; number++) {
                Server app = new Server("app-" + number, 16 * 1024, call -> {
                    received.incrementAndGet();
                    if (!Fleet.TROUBLE) call.body();
                    call.answer(200, Server.STAMP, "done");
                    if (Fleet.TROUBLE) readSlowly(call);
                    return true;
                });
                fleet.store.put("servers", app.id, Server.entry("app", app.address, 6, "ready"));
            }
            Ordinary ordinary = new Ordinary(fleet);
            fleet.start();
            long end = Threads.elapsedMs() + LENGTH_S * 1_000;
            ordinary.start(end);
            for (Fleet.Gateway gateway : fleet.gateways) {
                for (int number = 0; number < SENDERS; number++) Threads.start("sender", () -> send(gateway, end));
            }
            ordinary.watch(end);
            fleet.note("long requests: " + received + " at servers, " + ANSWERED + " answered");
            return ordinary.judge();
        }
    }

    private static void readSlowly(Server.Call call) throws IOException {
        byte[] piece = new byte[READ_PER_SECOND / 10];
        long left = call.head.length();
        while (left > 0) {
            int count = call.in.read(piece, 0, (int) Math.min(left, piece.length));
            if (count < 0) throw new IOException("closed");
            left -= count;
            Threads.sleep(100);
        }
    }

    /** Sends one long request after the other. */
    private static void send(Fleet.Gateway gateway, long end) {
        byte[] body = new byte[BODY];
        while (Threads.elapsedMs() < end) {
            try (Caller caller = new Caller(gateway, 4_500)) {
                caller.send(Caller.head("POST", "/post/a", Caller.newId(), 4_000, BODY, ""), body);
                Http.Response response = caller.read();
                if (response != null && response.status() == 200) ANSWERED.incrementAndGet();
            } catch (IOException exception) {
                // The gateway has refused the request or closed the connection; the client goes on.
            }
            Threads.sleep(200);
        }
    }
}
