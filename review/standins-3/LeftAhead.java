import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One client of each gateway sends short requests to a path without a route ahead on one connection, and leaves without
 * reading the answers. Some seconds later each gateway must serve ordinary callers.
 */
final class LeftAhead {
    private static final int REQUESTS = 1_000;
    private static final int NOT_FOUND = 404;
    private static final int PAUSE_S = 5;
    private static final int CHECK_S = 15;
    private static final int CALLERS = 5;

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, 2)) {
            fleet.configure("[" + Ordinary.ROUTE + "]", "[" + Ordinary.SERVICE + "]");
            for (int number = 0; number < 2; number++) {
                Server quick = new Server("quick-" + number, 0, call -> {
                    Threads.sleep(10);
                    call.answer(200, Server.STAMP, "quick");
                    return true;
                });
                fleet.store.put("servers", quick.id, Server.entry("quick", quick.address, 6, "ready"));
            }
            fleet.start();
            return play(fleet);
        }
    }

    private static int play(Fleet fleet) throws IOException {
        AtomicInteger[] served = {new AtomicInteger(), new AtomicInteger()};
        AtomicInteger[] sent = {new AtomicInteger(), new AtomicInteger()};
        for (int number = 0; number < 2; number++) {
            Fleet.Gateway gateway = fleet.gateways.get(number);
            AtomicInteger good = served[number];
            AtomicInteger all = sent[number];
            for (int caller = 0; caller < CALLERS; caller++) {
                Threads.start("ordinary", () -> {
                    while (true) {
                        all.incrementAndGet();
                        if (read(fleet, gateway)) good.incrementAndGet();
                        Threads.sleep(200);
                    }
                });
            }
        }
        count(fleet, "in calm", served, sent, 5);
        for (Fleet.Gateway gateway : fleet.gateways) sendAhead(fleet, gateway);
        count(fleet, "in the " + PAUSE_S + " s after the client has left", served, sent, PAUSE_S);
        int[] after = count(fleet, "in the " + CHECK_S + " s after that", served, sent, CHECK_S);
        int shut = 0;
        StringBuilder state = new StringBuilder();
        for (int number = 0; number < 2; number++) {
            Fleet.Gateway gateway = fleet.gateways.get(number);
            if (after[number] == 0) shut++;
            state.append("; ").append(gateway.id).append(" served ").append(after[number])
                    .append(gateway.alive() ? ", runs" : ", HAS ENDED").append(gateway.ready() ? ", ready" : ", not ready");
        }
        fleet.say("gateways that served no ordinary request from " + PAUSE_S + " to " + (PAUSE_S + CHECK_S)
                + " s after the client had left: " + shut + " (0 allowed)" + state);
        return shut > 0 ? 1 : 0;
    }

    /** Counts for some seconds; returns the requests that each gateway served. */
    private static int[] count(Fleet fleet, String when, AtomicInteger[] served, AtomicInteger[] sent, int seconds) {
        int[] before = {served[0].get(), served[1].get()};
        int[] sentBefore = {sent[0].get(), sent[1].get()};
        Threads.sleep(seconds * 1_000L);
        int[] result = {served[0].get() - before[0], served[1].get() - before[1]};
        for (int number = 0; number < 2; number++) {
            fleet.note(fleet.gateways.get(number).id + " served " + result[number] + " of "
                    + (sent[number].get() - sentBefore[number]) + " ordinary requests " + when);
        }
        return result;
    }

    private static boolean read(Fleet fleet, Fleet.Gateway gateway) {
        String id = Caller.newId();
        try (Caller caller = new Caller(gateway, 4_500)) {
            caller.send(Caller.head("GET", "/read/a", id, 4_000, 0, ""), new byte[0]);
            Http.Response response = caller.read();
            if (response != null && response.status() == 200) return true;
            fleet.note("ordinary request " + id + " at " + gateway.id + ": "
                    + (response == null ? "closed without an answer" : "status " + response.status()));
        } catch (IOException exception) {
            fleet.note("ordinary request " + id + " at " + gateway.id + ": " + exception.getMessage());
        }
        return false;
    }

    /** Sends all requests at once; without the disruption, the client reads the answers before it leaves. */
    private static void sendAhead(Fleet fleet, Fleet.Gateway gateway) throws IOException {
        int read = 0;
        try (Caller client = new Caller(gateway, 4_500)) {
            client.send("GET /nowhere HTTP/1.1\r\nHost: r\r\n\r\n".repeat(REQUESTS), new byte[0]);
            while (!Fleet.TROUBLE && read < REQUESTS) {
                Http.Response response = client.read();
                if (response == null || response.status() != NOT_FOUND) break;
                read++;
            }
        }
        fleet.note("a client of " + gateway.id + " has sent " + REQUESTS + " requests, read " + read + " answers and left");
    }
}
