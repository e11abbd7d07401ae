import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Planned work only: the servers of a service are replaced one after the other while the gateways are stopped and
 * started in turn. The store lists so many servers that a listing takes several pages. Counts requests that a gateway
 * in touch sent to a server later than drain_ms after the store had confirmed that the server is draining.
 */
final class PagedListing {
    /** Servers of another service that gets no requests here; nothing listens at their addresses. */
    private static final int OTHERS = 12_000;
    private static final int LIVE = 12;
    private static final int EVENTS = 20;

    /** Time between two replacements, and how long a server goes on after the store has taken its report. */
    private static final int GAP_MS = 900;
    private static final int LINGER_MS = 9_000;
    private static final int DRAIN_MS = 2_000;
    private static final int STABLE_MS = 3_000;

    private PagedListing() {}

    static boolean run(Record record, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.answerMs = 4;
        store.put("config", "main", Site.configuration(7));
        Random random = new Random();
        for (int index = 0; index < OTHERS; index++) {
            String entry = "{\"service\":\"" + Site.PLAIN + "\",\"address\":\"127.0.0.1:" + (1 + index % 1_000) + "\",\"zone\":\"zone-a\",\"version\":1,\"slots\":6,"
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1}";
            store.put("servers", newName(random), entry);
        }
        Map<String, Long> drainingAt = new ConcurrentHashMap<>();
        Map<String, String[]> runs = new ConcurrentHashMap<>();
        Deque<Backend> live = new ArrayDeque<>();
        for (int index = 0; index < LIVE; index++) live.add(server(store, record, random, runs));
        Fleet fleet = new Fleet(2, store, record);
        fleet.startAll();
        long[] inTouchFrom = {Record.now() + STABLE_MS, Record.now() + STABLE_MS};
        long[] termAt = {Long.MAX_VALUE, Long.MAX_VALUE};
        long end = Record.now() + 85_000;
        List<Thread> threads = new ArrayList<>();
        Map<String, Object[]> sent = new ConcurrentHashMap<>();
        for (int index = 0; index < 60; index++) {
            int gateway = index % 2;
            threads.add(Threads.start("consumer-" + index, () -> {
                try (Consumer consumer = new Consumer(fleet.frontend(gateway), Site.KEY, record)) {
                    while (Record.now() < end) {
                        Thread.sleep(random.nextInt(600));
                        long at = Record.now();
                        boolean inTouch;
                        synchronized (inTouchFrom) {
                            inTouch = at >= inTouchFrom[gateway] && at < termAt[gateway];
                        }
                        Consumer.Answer answer =
                            consumer.send("POST", "/review/x", Site.prompt(String.format("5c1e%04x", random.nextInt(82)), 13_300, 3_720, 20), new byte[17_000], 8_000);
                        sent.put(answer.id, new Object[] {at, gateway, inTouch, answer});
                        if (answer.end.equals("refused")) Thread.sleep(500);
                    }
                }
            }));
        }
        threads.add(Threads.start("release", () -> {
            while (Record.now() < end - 3_000) {
                Thread.sleep(GAP_MS);
                live.add(server(store, record, random, runs));
                Backend old = live.poll();
                store.put("servers", old.id, Site.entry(Site.ENGINES, old, 64, "draining", 2));
                drainingAt.put(old.id, Record.now());
                record.line("draining %s", old.id);
                Threads.start("end-" + old.id, () -> {
                    Thread.sleep(LINGER_MS);
                    old.close();
                    store.remove("servers", old.id);
                    record.line("ended %s", old.id);
                });
            }
        }));
        int restarts = 0;
        for (int turn = 0; trouble && Record.now() < end - 14_000; turn = 1 - turn) {
            Thread.sleep(1_000);
            Fleet.Gateway gateway = fleet.gateways.get(turn);
            synchronized (inTouchFrom) {
                termAt[turn] = Record.now();
                inTouchFrom[turn] = Long.MAX_VALUE;
            }
            fleet.signal(gateway, "TERM");
            gateway.process.waitFor();
            fleet.start(gateway);
            fleet.awaitReady(gateway);
            restarts++;
            synchronized (inTouchFrom) {
                inTouchFrom[turn] = Record.now() + STABLE_MS;
                termAt[turn] = Long.MAX_VALUE;
            }
        }
        for (Thread thread : threads) thread.join();
        fleet.close();
        int late = 0;
        int lost = 0;
        for (Map.Entry<String, String[]> run : runs.entrySet()) {
            Object[] request = sent.get(run.getKey());
            Long draining = drainingAt.get(run.getValue()[0]);
            if (request == null || draining == null || !(boolean) request[2]) continue;
            long arrived = Long.parseLong(run.getValue()[1]);
            if (arrived <= draining + DRAIN_MS) continue;
            late++;
            Consumer.Answer answer = (Consumer.Answer) request[3];
            if (!answer.end.equals("complete") || !answer.body.equals(Site.streamBody(answer.id, EVENTS))) lost++;
            record.line("DRAIN %s reached %s %d ms after its draining was confirmed, from edge-%d, status=%d end=%s",
                run.getKey(), run.getValue()[0], arrived - draining, (int) request[1] + 1, answer.status, answer.end);
        }
        record.result("restarts=%d requests=%d reached a draining server later than drain_ms=%d, of these broken off or failed=%d", restarts, sent.size(), late, lost);
        return late > 0;
    }

    private static String newName(Random random) {
        return String.format("i-%08x", random.nextInt());
    }

    private static Backend server(Store store, Record record, Random random, Map<String, String[]> runs) throws Exception {
        String name = newName(random);
        Backend server = new Backend(name, 64, record, (call, socket, out) -> {
            runs.put(call.id(), new String[] {name, Long.toString(Record.now())});
            Site.stream(call, out, 200, EVENTS, 100);
        });
        store.put("servers", name, Site.entry(Site.ENGINES, server, 64, "ready", 1));
        return server;
    }
}
