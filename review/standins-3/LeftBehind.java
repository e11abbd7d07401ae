import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send a second request ahead, with a body, and leave while a server works on the first one. The server must not
 * work on, and the second request must not reach a server any more.
 */
final class LeftBehind {
    private static final int CALLERS = 24;
    private static final int FEW = 3;
    private static final int BODY = 180_000;
    private static final int WORK_MS = 3_000;
    private static final int LEAVE_MS = 400;
    private static final int LATE_MS = 500;
    private static final Map<String, Long> LEFT = new ConcurrentHashMap<>();
    private static final AtomicInteger STAYED = new AtomicInteger();
    private static final List<String> LATE = new CopyOnWriteArrayList<>();
    private static final List<String> WORKED_ON = new CopyOnWriteArrayList<>();

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, 2)) {
            fleet.configure("[" + Fleet.route("read", "idempotent", 8000, 4000, "app", 1, "") + ","
                    + Fleet.route("post", "non_idempotent", 8000, 400, "app", 1, "") + "]",
                    "[{\"name\": \"app\", \"health_path\": \"/healthz\", \"max_connections\": 100}]");
            for (int number = 0; number < 3; number++) {
                Server app = new Server("app-" + number, 0, call -> serve(fleet, call));
                fleet.store.put("servers", app.id, Server.entry("app", app.address, 20, "ready"));
            }
            fleet.start();
            return play(fleet);
        }
    }

    /** Posts are answered at once; a read takes some seconds and ends when its connection does. */
    private static boolean serve(Fleet fleet, Server.Call call) throws IOException {
        call.body();
        Long left = LEFT.get(call.id());
        long since = left == null ? -1 : Threads.elapsedMs() - left;
        boolean staying = call.head.length() == 4;
        if (!staying) fleet.note("a server received " + call.head.method() + " " + call.id()
                + (left == null ? "" : ", whose caller left " + since + " ms ago"));
        if (since > LATE_MS) LATE.add(call.id());
        if (call.head.method().equals("GET") && !work(call)) {
            fleet.note("work on " + call.id() + " was cancelled");
            return false;
        }
        left = LEFT.get(call.id());
        if (call.head.method().equals("GET") && left != null && Threads.elapsedMs() - left > LATE_MS) {
            WORKED_ON.add(call.id());
            fleet.note("work on " + call.id() + " went on for " + (Threads.elapsedMs() - left)
                    + " ms after its caller had left");
        }
        call.answer(200, Server.STAMP, "done");
        return true;
    }

    private static boolean work(Server.Call call) throws IOException {
        long end = Threads.elapsedMs() + WORK_MS;
        call.socket.setSoTimeout(20);
        while (Threads.elapsedMs() < end) {
            try {
                if (call.in.read() < 0) return false;
            } catch (SocketTimeoutException exception) {
                // Nothing has arrived: the connection is still open.
            }
        }
        call.socket.setSoTimeout(0);
        return true;
    }

    /** Other callers, who stay until they have their answer; each request is one caller's. */
    private static void stay(Fleet fleet, Fleet.Gateway gateway) {
        while (true) {
            try (Caller caller = new Caller(gateway, 9_000)) {
                caller.send(Caller.head("POST", "/post/a", Caller.newId(), 8_000, 4, ""), Http.bytes("body"));
                caller.read();
                STAYED.incrementAndGet();
            } catch (IOException exception) {
                fleet.note("a caller that stays: " + exception.getMessage());
            }
            Threads.sleep(100);
        }
    }

    private static int play(Fleet fleet) throws IOException {
        for (Fleet.Gateway gateway : fleet.gateways) {
            for (int number = 0; number < 2; number++) Threads.start("stays", () -> stay(fleet, gateway));
        }
        for (int number = 0; number < CALLERS; number++) {
            Fleet.Gateway gateway = fleet.gateways.get(number % fleet.gateways.size());
            Caller caller = new Caller(gateway, 9_000);
            String first = Caller.newId();
            String second = Caller.newId();
            caller.send(Caller.head("GET", "/read/a", first, 8_000, 0, ""), new byte[0]);
            caller.send(Caller.head("POST", "/post/a", second, 8_000, BODY, ""), new byte[BODY]);
            fleet.note("a caller sent GET " + first + " and POST " + second + " to " + gateway.id);
            Threads.start("caller", () -> {
                Threads.sleep(LEAVE_MS);
                if (!Fleet.TROUBLE) return;
                caller.close();
                LEFT.put(first, Threads.elapsedMs());
                LEFT.put(second, Threads.elapsedMs());
                fleet.note("the caller of GET " + first + " left");
            });
            Threads.sleep(200);
        }
        Threads.sleep(2 * WORK_MS);
        fleet.note("callers that stayed: " + STAYED);
        fleet.say("callers that left: " + LEFT.size() / 2 + "; of their reads, servers worked on " + WORKED_ON.size()
                + " for longer than " + LATE_MS + " ms after that (a quarter allowed); posts that reached a server later"
                + " than " + LATE_MS + " ms after that: " + LATE.size() + " (" + FEW + " allowed)");
        return LATE.size() > FEW || WORKED_ON.size() * 4 > CALLERS ? 1 : 0;
    }
}
