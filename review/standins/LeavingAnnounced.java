import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Servers of a zone are reclaimed while the store is down: all their answers say `Server-Leaving: 1`, and they are gone
 * 2.7 s after the notice. Counts requests that were sent later than drain_ms after a gateway had passed on such an
 * answer of the server and that this gateway sent there, and those of them that were lost with it.
 */
final class LeavingAnnounced {
    private static final int SERVERS = 3;
    private static final int STORE_DOWN_MS = 8_000;

    /** From the notice of a reclaimed server to its end, the longest of the small sites. */
    private static final int GONE_AFTER_MS = 2_700;
    private static final int DRAIN_MS = 2_000;

    private LeavingAnnounced() {}

    static boolean run(Record record, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("config", "main", Site.configuration(7));
        AtomicLong noticeAt = new AtomicLong(Long.MAX_VALUE);
        Map<String, String> runAt = new ConcurrentHashMap<>();
        Random random = new Random();
        List<Backend> servers = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            String id = "i-line-" + index;
            boolean reclaimed = index == 0;
            Backend server = new Backend(id, 6, record, (call, socket, out) -> {
                runAt.put(call.id(), id);
                Thread.sleep(20 + random.nextInt(20));
                boolean leaving = reclaimed && Record.now() >= noticeAt.get();
                String fields = "Keep-Alive: timeout=5\r\nContent-Length: 4\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
                Wire.write(out, Backend.head(call, "200 OK", fields) + "done");
            });
            servers.add(server);
            store.put("servers", id, Site.entry(Site.PLAIN, server, 6, "ready", 1));
        }
        Fleet fleet = new Fleet(2, store, record);
        fleet.startAll();
        // Longer than stable_ms, so that the gateways are in touch.
        Thread.sleep(5_000);
        long end = Record.now() + 14_000;
        List<Consumer.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        Map<Integer, Long> passedOn = new ConcurrentHashMap<>();
        Map<String, Integer> gatewayOf = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < 24; index++) {
            int gateway = index % 2;
            threads.add(Threads.start("consumer-" + index, () -> {
                try (Consumer consumer = new Consumer(fleet.frontend(gateway), Site.KEY, record)) {
                    while (Record.now() < end) {
                        Thread.sleep(random.nextInt(60));
                        long sent = Record.now();
                        Consumer.Answer answer = consumer.send("POST", "/gate/belt-7", "", new byte[600], 600);
                        sentAt.put(answer.id, sent);
                        gatewayOf.put(answer.id, gateway);
                        answers.add(answer);
                        if (answer.headers.containsKey("server-leaving")) passedOn.putIfAbsent(gateway, Record.now());
                    }
                }
            }));
        }
        Thread.sleep(1_000);
        store.down = trouble;
        record.line("store down=%s", store.down);
        Thread.sleep(1_000);
        noticeAt.set(Record.now());
        record.line("i-line-0 leaves");
        // The store takes no report while it is down.
        if (!trouble) store.put("servers", "i-line-0", Site.entry(Site.PLAIN, servers.get(0), 6, "draining", 2));
        Thread.sleep(GONE_AFTER_MS);
        servers.get(0).close();
        record.line("i-line-0 is gone");
        if (!trouble) store.remove("servers", "i-line-0");
        Thread.sleep(STORE_DOWN_MS - 1_000 - GONE_AFTER_MS);
        store.remove("servers", "i-line-0");
        store.down = false;
        record.line("store down=false");
        for (Thread thread : threads) thread.join();
        fleet.close();
        int late = 0;
        int lost = 0;
        for (Consumer.Answer answer : answers) {
            Long told = passedOn.get(gatewayOf.get(answer.id));
            if (!"i-line-0".equals(runAt.get(answer.id)) || told == null || sentAt.get(answer.id) <= told + DRAIN_MS) continue;
            late++;
            if (answer.status != 200) lost++;
            record.line("DRAIN %s sent %d ms after the gateway had passed on Server-Leaving, status %d", answer.id, sentAt.get(answer.id) - told, answer.status);
        }
        record.result("requests=%d passed on at=%s reached the leaving server later than drain_ms=%d, of these not served=%d", answers.size(), passedOn, late, lost);
        return late > 0;
    }
}
