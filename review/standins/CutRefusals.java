import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some servers write, after a few of their complete answers, the first bytes of a refusal that they gave earlier. The
 * requests may run once at most. Counts requests that ran twice, that were told not to have run although they had, and
 * answers whose status is not the server's.
 */
final class CutRefusals {
    private static final int SERVERS = 5;

    /** The largest dose of the small sites: 0.6 of the servers, 0.03 of their answers. */
    private static final int FAULTY = 3;
    private static final double SPOILT = 0.03;
    /** They begin all at once, so that each gateway tries each server. */
    private static final int CONSUMERS = 24;
    private static final String[] STATUSES = {"503 Service Unavailable", "421 Misdirected Request"};

    private CutRefusals() {}

    static boolean run(Record record, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("config", "main", Site.configuration(7));
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Random random = new Random();
        for (int index = 0; index < SERVERS; index++) {
            boolean faulty = trouble && index < FAULTY;
            Backend server = new Backend("i-line-" + index, 6, record, (call, socket, out) -> {
                runs.computeIfAbsent(call.id(), id -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(20 + random.nextInt(20));
                String more = "";
                if (faulty && random.nextDouble() < SPOILT) {
                    Backend.Call earlier = new Backend.Call();
                    earlier.headers.put("x-request-id", Consumer.newId());
                    String refusal = Backend.refusal(earlier, STATUSES[random.nextInt(STATUSES.length)]);
                    more = refusal.substring(0, 1 + random.nextInt(refusal.length() - 1));
                    record.line("extra after %s: %s", call.id(), more.replace("\r\n", "|"));
                }
                Wire.write(out, Backend.answer(call, "done " + call.id()) + more);
            });
            store.put("servers", server.id, Site.entry(Site.PLAIN, server, 6, "ready", 1));
        }
        Fleet fleet = new Fleet(2, store, record);
        fleet.startAll();
        Thread.sleep(1_000);
        long end = Record.now() + 60_000;
        List<Consumer.Answer> answers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < CONSUMERS; index++) {
            int number = index;
            threads.add(Threads.start("consumer-" + number, () -> {
                try (Consumer consumer = new Consumer(fleet.frontend(number % 2), Site.KEY, record)) {
                    while (Record.now() < end) {
                        Consumer.Answer answer = consumer.send("POST", "/gate/belt-7", "", new byte[600], 600);
                        synchronized (answers) {
                            answers.add(answer);
                        }
                        Thread.sleep(random.nextInt(60));
                    }
                }
            }));
        }
        for (Thread thread : threads) thread.join();
        fleet.close();
        int twice = 0;
        int refused = 0;
        int mixed = 0;
        for (Consumer.Answer answer : answers) {
            int ran = runs.containsKey(answer.id) ? runs.get(answer.id).get() : 0;
            if (ran > 1) {
                twice++;
                record.line("TWICE %s ran %d times", answer.id, ran);
            }
            if (ran > 0 && List.of(408, 421, 429, 503).contains(answer.status)) {
                refused++;
                record.line("REFUSED %s status %d, ran %d times", answer.id, answer.status, ran);
            }
            // Every answer that a server gave to a request that it ran was a 200.
            if (answer.headers.containsKey("x-server-stamp") && answer.status != 200) {
                mixed++;
                record.line("MIXED %s status %d bears the proof of an answer with 200", answer.id, answer.status);
            }
        }
        record.result("requests=%d ran=%d TWICE=%d REFUSED=%d MIXED=%d", answers.size(), runs.size(), twice, refused, mixed);
        return twice + refused + mixed > 0;
    }
}
