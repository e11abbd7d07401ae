import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary callers of a service with sound, fast servers, which must be served whatever happens to another service; and
 * the judgement of the gateways that serve them.
 */
final class Ordinary {
    static final String ROUTE = Fleet.route("read", "idempotent", 4000, 400, "quick", 2, "");
    static final String SERVICE = "{\"name\": \"quick\", \"health_path\": \"/healthz\", \"max_connections\": 100}";
    private static final int CALLERS = 2;
    private static final int TIMEOUT_MS = 4_500;
    private static final int ALLOWED = 3;
    private static final int HUNG_MS = 10_000;
    private final Fleet fleet;
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private int unready;

    Ordinary(Fleet fleet) throws IOException {
        this.fleet = fleet;
        for (int number = 0; number < 2; number++) {
            Server quick = new Server("quick-" + number, 0, call -> {
                run.add(call.id());
                Threads.sleep(10);
                call.answer(200, Server.STAMP, "quick");
                return true;
            });
            fleet.store.put("servers", quick.id, Server.entry("quick", quick.address, 6, "ready"));
        }
    }

    /** Starts callers of each gateway, which send requests until [end]. */
    void start(long end) {
        for (Fleet.Gateway gateway : fleet.gateways) {
            for (int number = 0; number < CALLERS; number++) {
                Threads.start("ordinary", () -> call(gateway, end - TIMEOUT_MS));
            }
        }
    }

    /** Records the state of all gateways each second until [end]. */
    void watch(long end) {
        while (Threads.elapsedMs() < end) {
            Threads.sleep(1_000);
            StringBuilder line = new StringBuilder("ordinary requests: " + served + " served, " + notServed + " not;");
            for (Fleet.Gateway gateway : fleet.gateways) {
                boolean ready = gateway.ready();
                if (!ready) unready++;
                line.append(' ').append(gateway.id).append(gateway.alive() ? " runs" : " HAS ENDED")
                        .append(ready ? ", ready;" : ", NOT READY;");
            }
            fleet.note(line.toString());
        }
    }

    /** 1 if a gateway has ended or hangs, or ordinary requests were lost; otherwise 0. */
    int judge() {
        List<Fleet.Gateway> hung = new ArrayList<>(fleet.gateways);
        hung.removeIf(gateway -> !gateway.alive());
        int ended = fleet.gateways.size() - hung.size();
        for (long end = Threads.elapsedMs() + HUNG_MS; !hung.isEmpty() && Threads.elapsedMs() < end; Threads.sleep(500)) {
            hung.removeIf(Fleet.Gateway::ready);
        }
        fleet.say("gateways: " + fleet.gateways.size() + ", of these " + ended + " ended and " + hung.size()
                + " run but did not answer for " + HUNG_MS + " ms (0 allowed); failed probes of readiness: " + unready
                + "; ordinary requests: " + served + " served, " + notServed + " not, " + unanswered
                + " of these without any answer, " + lost + " of them after a server had run them (" + ALLOWED
                + " allowed)");
        return ended + hung.size() > 0 || lost.get() > ALLOWED ? 1 : 0;
    }

    private void call(Fleet.Gateway gateway, long end) throws IOException {
        Caller caller = null;
        while (Threads.elapsedMs() < end) {
            String id = Caller.newId();
            String failure = null;
            boolean close = true;
            try {
                if (caller == null) caller = new Caller(gateway, TIMEOUT_MS);
                caller.send(Caller.head("GET", "/read/a", id, 4_000, 0, ""), new byte[0]);
                Http.Response response = caller.read();
                if (response == null) {
                    failure = closed(id);
                } else {
                    if (response.status() != 200) failure = "status " + response.status();
                    close = "close".equals(response.head().field("Connection"));
                }
            } catch (IOException exception) {
                failure = closed(id) + " (" + exception.getMessage() + ")";
            }
            if (close && caller != null) {
                caller.close();
                caller = null;
            }
            if (failure == null) {
                served.incrementAndGet();
            } else {
                notServed.incrementAndGet();
                fleet.note("ordinary request " + id + " at " + gateway.id + ": " + failure);
            }
            Threads.sleep(100);
        }
    }

    private String closed(String id) {
        unanswered.incrementAndGet();
        if (!run.contains(id)) return "no answer";
        lost.incrementAndGet();
        return "no answer, though a server has run it";
    }
}
