import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of one service answer with bytes without end: a head of very short fields that does not end until the
 * connection is closed. Callers of another service, whose servers are sound, must be served, and no gateway may end or
 * hang.
 */
final class EndlessHeads {
    private static final int GATEWAYS = 3;

    /** The rate of one route of the site for three of its seven machines; all its requests to model servers are 49.7. */
    private static final double REQUESTS_PER_SECOND = 21.2;
    private static final int FIELDS_AT_ONCE = 30_000;
    private static final int LENGTH_S = 45;
    private static final AtomicInteger ANSWERS = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, GATEWAYS)) {
            fleet.configure("[" + Fleet.route("chat", "streaming", 10000, 2000, "llm", 1,
                    ", \"sticky\": true, \"resumable\": false, \"gap_aim_ms\": 1200") + "," + Ordinary.ROUTE + "]",
                    "[{\"name\": \"llm\", \"health_path\": \"/healthz\", \"max_connections\": 360,"
                    + "\"engine\": {\"slots\": 64, \"kv_capacity\": 731753}}," + Ordinary.SERVICE + "]");
            byte[] fields = Http.bytes("a:\r\n".repeat(FIELDS_AT_ONCE));
            for (int number = 0; number < 4; number++) {
                Server engine = new Server("engine-" + number, 0, call -> answer(call, fields));
                fleet.store.put("servers", engine.id, Server.entry("llm", engine.address, 64, "ready"));
            }
            Ordinary ordinary = new Ordinary(fleet);
            fleet.start();
            long end = Threads.elapsedMs() + LENGTH_S * 1_000;
            ordinary.start(end);
            Threads.start("load", () -> load(fleet, end));
            ordinary.watch(end);
            fleet.note("requests that model servers answered: " + ANSWERS);
            return ordinary.judge();
        }
    }

    private static boolean answer(Server.Call call, byte[] fields) throws IOException {
        call.body();
        ANSWERS.incrementAndGet();
        if (!Fleet.TROUBLE) {
            Threads.sleep(300);
            call.answer(200, Server.STAMP + "Content-Type: text/event-stream\r\n", "id: 1\ndata: tokens\n\n");
            return true;
        }
        OutputStream out = call.out;
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n"));
        out.write(fields);
        while (true) {
            out.write(Http.bytes("a:\r\n"));
            out.flush();
            Threads.sleep(100);
        }
    }

    private static void load(Fleet fleet, long end) {
        for (int number = 0; Threads.elapsedMs() < end; number++) {
            Fleet.Gateway gateway = fleet.gateways.get(number % fleet.gateways.size());
            Threads.start("chat", () -> {
                String id = Caller.newId();
                byte[] body = new byte[17_000];
                String fields = "X-Model: m\r\nX-Token-Count: 17020,120\r\nX-Prompt-Prefix: 5ead01:13300," + id
                        + ":3720\r\n";
                try (Caller caller = new Caller(gateway, 10_500)) {
                    caller.send(Caller.head("POST", "/chat/a", id, 10_000, body.length, fields), body);
                    Http.Response response = caller.read();
                    fleet.note("request " + id + " at " + gateway.id + ": "
                            + (response == null ? "closed without an answer" : "status " + response.status()));
                } catch (IOException exception) {
                    fleet.note("request " + id + " at " + gateway.id + ": " + exception.getMessage());
                }
            });
            Threads.sleep((long) (1_000 / REQUESTS_PER_SECOND));
        }
    }
}
