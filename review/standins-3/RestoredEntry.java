import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server leaves by removing its entry, and all gateways take note. Later the store comes back from a copy that is some
 * seconds old and holds the entry again, until it lapses. The server must get no request that was sent later than the
 * drain time after the acknowledgement.
 */
final class RestoredEntry {
    private static final int GATEWAYS = 3;
    private static final int SERVERS = 7;
    private static final int CALLERS = 4;
    private static final int DRAIN_MS = 2_000;
    private static final int COPY_AGE_MS = 5_000;
    private static final int AWAY_MS = 500;
    private static final int LAPSE_MS = 3_600;
    private static final int STABLE_MS = 3_000;
    private static final int WORK_MS = 100;
    private static final List<String> SENT_BY_LEAVING = new CopyOnWriteArrayList<>();
    private static final Set<String> LATE = ConcurrentHashMap.newKeySet();
    private static volatile boolean leaving;
    private static volatile boolean late;
    private static volatile boolean paused;

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, GATEWAYS)) {
            fleet.store.era(1);
            fleet.configure("[" + Fleet.route("post", "non_idempotent", 4000, 400, "app", 1, "") + "]",
                    "[{\"name\": \"app\", \"health_path\": \"/healthz\", \"max_connections\": 100}]");
            for (int number = 0; number < SERVERS; number++) {
                boolean leaves = number == 0;
                Server app = new Server("app-" + number, 0, call -> {
                    call.body();
                    if (leaves && leaving) {
                        fleet.note("app-0, which leaves, received request " + call.id());
                        if (LATE.contains(call.id())) SENT_BY_LEAVING.add(call.id());
                    }
                    Threads.sleep(WORK_MS);
                    call.answer(200, Server.STAMP + (leaves && leaving ? "Server-Leaving: 1\r\n" : ""), "done");
                    return true;
                });
                fleet.store.put("servers", app.id, Server.entry("app", app.address, 6, "ready"));
            }
            fleet.start();
            return play(fleet);
        }
    }

    private static int play(Fleet fleet) {
        for (Fleet.Gateway gateway : fleet.gateways) {
            for (int number = 0; number < CALLERS; number++) {
                Threads.start("caller", () -> {
                    while (true) {
                        if (!paused) post(fleet, gateway);
                        Threads.sleep(250);
                    }
                });
            }
        }
        Threads.sleep(6_000);
        Store.Copy copy = fleet.store.copy();
        fleet.note("the store is copied");
        // No request is under way while the server leaves, so no answer tells the gateways that it does.
        paused = true;
        Threads.sleep(700);
        leaving = true;
        fleet.store.remove("servers", "app-0");
        fleet.store.countWatchers();
        fleet.note("app-0 leaves: its entry is removed");
        long began = Threads.elapsedMs();
        while (fleet.store.watchers() < GATEWAYS) {
            Threads.sleep(20);
            if (Threads.elapsedMs() - began > 4_000) {
                fleet.say("not all gateways took note of the removal within 4000 ms");
                return 2;
            }
        }
        fleet.note("all gateways have taken note of the removal");
        paused = false;
        Threads.sleep(DRAIN_MS);
        late = true;
        fleet.note("the drain time is over");
        Threads.sleep(COPY_AGE_MS - DRAIN_MS - 1_000);
        if (Fleet.TROUBLE) {
            fleet.store.mode(Store.Mode.BUSY);
            fleet.note("the store is away");
            paused = true;
            Threads.sleep(AWAY_MS);
            fleet.store.restore(copy);
            fleet.store.mode(Store.Mode.UP);
            fleet.note("the store is back from the copy, in its second era");
            // The store has been stable for this time once the callers go on.
            Threads.sleep(STABLE_MS + 50);
            paused = false;
            Threads.sleep(LAPSE_MS - STABLE_MS - 50);
            fleet.store.remove("servers", "app-0");
            fleet.note("the entry of app-0 has lapsed");
        }
        Threads.sleep(3_000);
        fleet.say("requests that callers sent later than " + DRAIN_MS + " ms after all gateways had acknowledged that"
                + " app-0 is gone, and that reached it: " + SENT_BY_LEAVING.size() + " (0 allowed)");
        return SENT_BY_LEAVING.isEmpty() ? 0 : 1;
    }

    private static void post(Fleet fleet, Fleet.Gateway gateway) {
        String id = Caller.newId();
        if (late) LATE.add(id);
        try (Caller caller = new Caller(gateway, 4500)) {
            caller.send(Caller.head("POST", "/post/a", id, 4000, 4, ""), Http.bytes("body"));
            Http.Response response = caller.read();
            fleet.note("request " + id + " at " + gateway.id + ": "
                    + (response == null ? "closed without an answer" : "status " + response.status()));
        } catch (IOException exception) {
            fleet.note("request " + id + " at " + gateway.id + ": " + exception.getMessage());
        }
    }
}
