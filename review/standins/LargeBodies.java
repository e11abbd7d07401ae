import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers post bodies just below the configured limit while others send small reads; for a while more of the former
 * come than usual. Counts the reads that are unanswered at their route's timeout and half a second after it.
 */
final class LargeBodies {
    private static final int GATEWAYS = 2;

    /** Consumers with large bodies at each gateway, and their factor during the burst. */
    private static final int USUAL = 10;
    private static final double BURST = 2.3;
    private static final int BURST_MS = 9_000;
    private static final int BODY_BYTES = 4_190_000;
    private static final int ROUTE_TIMEOUT_MS = 600;
    private static final int SLACK_MS = 500;

    private LargeBodies() {}

    static boolean run(Record record, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("config", "main", Site.configuration(7));
        for (int index = 0; index < 6; index++) {
            Backend server = new Backend("i-engine-" + index, 64, record, (call, socket, out) -> Site.stream(call, out, 300, 20, 150));
            store.put("servers", server.id, Site.entry(Site.ENGINES, server, 64, "ready", 1));
        }
        for (int index = 0; index < 3; index++) {
            Backend server = new Backend("i-line-" + index, 6, record, (call, socket, out) -> {
                Thread.sleep(15);
                Wire.write(out, Backend.answer(call, "done " + call.id()));
            });
            store.put("servers", server.id, Site.entry(Site.PLAIN, server, 6, "ready", 1));
        }
        Fleet fleet = new Fleet(GATEWAYS, store, record);
        fleet.startAll();
        Thread.sleep(3_000);
        long start = Record.now();
        long burstStart = start + 8_000;
        long end = start + 40_000;
        byte[] body = new byte[BODY_BYTES];
        AtomicInteger reads = new AtomicInteger();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        int burst = (int) (USUAL * BURST);
        for (int index = 0; index < GATEWAYS * burst; index++) {
            int number = index;
            boolean usual = number / GATEWAYS < USUAL;
            if (!usual && !trouble) continue;
            threads.add(Threads.start("large-" + number, () -> {
                Random random = new Random(number);
                if (!usual) Thread.sleep(burstStart - start + random.nextInt(1_000));
                long until = usual ? end : burstStart + BURST_MS;
                try (Consumer consumer = new Consumer(fleet.frontend(number % GATEWAYS), Site.KEY, record)) {
                    while (Record.now() < until) {
                        consumer.send("POST", "/review/x", Site.prompt("5c1e07a2", 13_300, 3_720, 20), body, 8_000);
                        Thread.sleep(200 + random.nextInt(600));
                    }
                }
            }));
        }
        for (int index = 0; index < GATEWAYS * 10; index++) {
            int number = index;
            threads.add(Threads.start("read-" + number, () -> {
                Random random = new Random(1_000 + number);
                try (Consumer consumer = new Consumer(fleet.frontend(number % GATEWAYS), Site.OTHER_KEY, record)) {
                    while (Record.now() < end) {
                        Thread.sleep(200 + random.nextInt(1_600));
                        Consumer.Answer answer = consumer.send("GET", "/belt/x", "", null, 4_000);
                        reads.incrementAndGet();
                        if (answer.status == 200 && answer.end.equals("complete")) served.incrementAndGet();
                        if (answer.ms > ROUTE_TIMEOUT_MS) overdue.incrementAndGet();
                        if (answer.ms > ROUTE_TIMEOUT_MS + SLACK_MS) unanswered.incrementAndGet();
                    }
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        for (Fleet.Gateway gateway : fleet.gateways) {
            record.result("%s alive=%s ready=%s starts=%d", gateway.name, gateway.process.isAlive(), fleet.ready(gateway), gateway.starts);
        }
        record.result("reads=%d served=%d unanswered at the route's timeout=%d, half a second later=%d", reads.get(), served.get(), overdue.get(), unanswered.get());
        // The rule counts shares; ten requests keep a single late one from deciding.
        fleet.close();
        return overdue.get() >= 10 && unanswered.get() * 2 > overdue.get();
    }
}
