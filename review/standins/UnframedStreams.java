import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All engines answer streams with neither a length nor chunks. One engine crashes; later a part of a prompt crashes each
 * engine that begins to write an answer on it. Compares how often sound requests with the same key and first part begin
 * at the first attempt, before these and from 2 x stable_ms after the last crash on.
 */
final class UnframedStreams {
    private static final int ENGINES = 6;
    private static final int EVENTS = 20;
    private static final String FIRST_PART = "5c1e07a2";
    private static final String DEADLY_PART = "dead0b57";

    /** Share of the requests with the deadly part, and for how long they come, as in the users' own day. */
    private static final double TAINTED = 0.05;
    private static final int TAINTED_MS = 22_000;

    /** The longest time for which the site's crashed engines are down. */
    private static final int DOWN_MS = 4_500;
    private static final int STABLE_MS = 3_000;

    /** A server's entry is removed after three heartbeat intervals of silence. */
    private static final int EXPIRY_MS = 3_600;

    private final Record record;
    private final Store store;
    private final List<Backend> engines = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final AtomicLong lastCrash = new AtomicLong();
    private int starts;
    private int crashes;

    private UnframedStreams(Record record) throws Exception {
        this.record = record;
        store = new Store(record);
    }

    static boolean run(Record record, boolean trouble) throws Exception {
        return new UnframedStreams(record).play(trouble);
    }

    private boolean play(boolean trouble) throws Exception {
        store.put("config", "main", Site.configuration(7));
        for (int index = 0; index < ENGINES; index++) startEngine();
        Fleet fleet = new Fleet(2, store, record);
        fleet.startAll();
        Thread.sleep(1_000);
        long start = Record.now();
        long crashAt = start + 15_000;
        long taintedFrom = start + 22_000;
        long end = taintedFrom + TAINTED_MS;
        Map<String, Long> sound = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < 40; index++) {
            int number = index;
            threads.add(Threads.start("consumer-" + number, () -> {
                Random random = new Random(number);
                try (Consumer consumer = new Consumer(fleet.frontend(number % 2), Site.KEY, record)) {
                    while (Record.now() < end) {
                        Thread.sleep(random.nextInt(1_000));
                        long at = Record.now();
                        boolean tainted = trouble && at >= taintedFrom && random.nextDouble() < TAINTED;
                        String parts = FIRST_PART + ":13300" + (tainted ? "," + DEADLY_PART + ":500" : "") + "," + Consumer.newId() + ":3720";
                        String fields = "X-Model: m\r\nX-Token-Count: " + (tainted ? 17_520 : 17_020) + ",20\r\nX-Prompt-Prefix: " + parts + "\r\n";
                        Consumer.Answer answer = consumer.send("POST", "/review/x", fields, new byte[17_000], 8_000);
                        if (!tainted) sound.put(answer.id, at);
                    }
                }
            }));
        }
        Thread.sleep(crashAt - Record.now());
        if (trouble) {
            Backend busiest = engines.stream().max((one, other) -> Integer.compare(one.running(), other.running())).orElseThrow();
            record.line("an engine crashes");
            crash(busiest);
        }
        for (Thread thread : threads) thread.join();
        fleet.close();
        long judgedFrom = trouble ? Math.max(lastCrash.get(), taintedFrom) + 2 * STABLE_MS : taintedFrom;
        int[] before = share(sound, start, crashAt);
        int[] after = share(sound, judgedFrom, end);
        record.result("crashes=%d; sound requests begun before: %d of %d; from 2 x stable_ms after the last crash on: %d of %d", crashes, before[0], before[1], after[0], after[1]);
        if (before[1] < 20 || after[1] < 20) throw new IllegalStateException("fewer than 20 sound requests to compare");
        return (double) after[0] / after[1] < 0.5 * before[0] / before[1];
    }

    private int[] share(Map<String, Long> sound, long from, long until) {
        int sent = 0;
        int began = 0;
        for (Map.Entry<String, Long> request : sound.entrySet()) {
            if (request.getValue() < from || request.getValue() >= until) continue;
            sent++;
            if (begun.contains(request.getKey())) began++;
        }
        return new int[] {began, sent};
    }

    private synchronized void startEngine() throws Exception {
        String id = String.format("i-engine-%02d", starts++);
        Backend[] self = new Backend[1];
        self[0] = new Backend(id, 64, record, (call, socket, out) -> answer(self[0], call, out));
        engines.add(self[0]);
        store.put("servers", id, Site.entry(Site.ENGINES, self[0], 64, "ready", 1));
    }

    private void answer(Backend engine, Backend.Call call, OutputStream out) throws Exception {
        begun.add(call.id());
        Thread.sleep(600);
        String head = Backend.head(call, "200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n");
        if (call.headers.get("x-prompt-prefix").contains(DEADLY_PART)) {
            Wire.write(out, head.substring(0, 40));
            crash(engine);
            return;
        }
        Wire.write(out, head);
        for (int number = 1; number <= EVENTS; number++) {
            Thread.sleep(60);
            Wire.write(out, "id: " + number + "\ndata: " + call.id() + "-" + number + "\n\n");
        }
        out.close();
    }

    /** Ends the engine at once; another starts in its place some seconds later. */
    private synchronized void crash(Backend engine) {
        if (!engines.remove(engine)) return;
        crashes++;
        lastCrash.set(Record.now());
        record.line("crash of %s", engine.id);
        engine.close();
        Threads.start("back-" + engine.id, () -> {
            Thread.sleep(EXPIRY_MS);
            store.remove("servers", engine.id);
            Thread.sleep(DOWN_MS - EXPIRY_MS);
            startEngine();
        });
    }
}
