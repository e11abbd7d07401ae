import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server refuses a request and asks for a pause. It is then cut off from the store for some seconds, so that its entry
 * lapses and returns. Until the end of the pause it must get no more than two requests from each gateway.
 */
final class ForgottenPause {
    private static final int PAUSE_S = 25;
    private static final int MARGIN_MS = 500;
    private static final int ALLOWED = 2;
    private static final int CALLERS = 8;
    private static final int CUT_MS = 5_000;
    private static final int LAPSE_MS = 3_600;
    private static final Map<String, Integer> SENT_TO = new ConcurrentHashMap<>();
    private static final Map<Integer, Long> PAUSED = new ConcurrentHashMap<>();
    private static final Map<Integer, Integer> LATE = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, 2)) {
            fleet.configure("[" + Fleet.route("read", "idempotent", 4000, 400, "app", 2, "") + "]",
                    "[{\"name\": \"app\", \"health_path\": \"/healthz\", \"max_connections\": 100}]");
            Server busy = new Server("app-0", 0, call -> refuse(fleet, call));
            fleet.store.put("servers", busy.id, Server.entry("app", busy.address, 20, "ready"));
            for (int number = 1; number < 5; number++) {
                Server sound = new Server("app-" + number, 0, call -> {
                    Threads.sleep(150);
                    call.answer(200, Server.STAMP, "done");
                    return true;
                });
                fleet.store.put("servers", sound.id, Server.entry("app", sound.address, 20, "ready"));
            }
            fleet.start();
            return play(fleet, busy);
        }
    }

    private static boolean refuse(Fleet fleet, Server.Call call) throws IOException {
        int gateway = SENT_TO.get(call.id());
        Long paused = PAUSED.putIfAbsent(gateway, Threads.elapsedMs());
        long since = paused == null ? 0 : Threads.elapsedMs() - paused;
        fleet.note("app-0 received " + call.id() + " from " + fleet.gateways.get(gateway).id
                + (paused == null ? "" : ", " + since + " ms after it had asked it for a pause of " + PAUSE_S + " s"));
        if (since > MARGIN_MS && since < PAUSE_S * 1_000) LATE.merge(gateway, 1, Integer::sum);
        call.answer(503, "X-Not-Executed: 1\r\n" + (paused == null ? "Retry-After: " + PAUSE_S + "\r\n" : ""), "");
        return true;
    }

    private static int play(Fleet fleet, Server busy) {
        for (int gateway = 0; gateway < fleet.gateways.size(); gateway++) {
            int target = gateway;
            for (int number = 0; number < CALLERS; number++) {
                Threads.start("caller", () -> {
                    while (true) {
                        read(fleet, target);
                        Threads.sleep(200);
                    }
                });
            }
        }
        Threads.sleep(4_000);
        if (Fleet.TROUBLE) {
            fleet.note("app-0 is cut off from the store");
            Threads.sleep(LAPSE_MS);
            fleet.store.remove("servers", busy.id);
            fleet.note("its entry has lapsed");
            Threads.sleep(CUT_MS - LAPSE_MS);
            fleet.store.put("servers", busy.id, Server.entry("app", busy.address, 20, "ready"));
            fleet.note("the cut has ended, its entry is back");
        }
        Threads.sleep(12_000);
        fleet.say("requests that reached app-0 between " + MARGIN_MS + " ms after it had asked for a pause and the end of"
                + " the pause, from each gateway: " + LATE.values() + " (" + ALLOWED + " allowed)");
        return LATE.values().stream().anyMatch(count -> count > ALLOWED) ? 1 : 0;
    }

    private static void read(Fleet fleet, int gateway) {
        String id = Caller.newId();
        SENT_TO.put(id, gateway);
        try (Caller caller = new Caller(fleet.gateways.get(gateway), 4_500)) {
            caller.send(Caller.head("GET", "/read/a", id, 4_000, 0, ""), new byte[0]);
            caller.read();
        } catch (IOException exception) {
            fleet.note("request " + id + ": " + exception.getMessage());
        }
    }
}
