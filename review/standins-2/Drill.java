import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The VM that holds the duties is killed, and shortly after its successor's first call the store comes back from a copy
 * that is three seconds old. The gateways start some time apart, as after a rolling restart. Checks that no two VMs send the same generation number for one duty and subject, and that no window is reported with
 * different counts.
 */
public final class Drill {
    private static final int GATEWAYS = 7;
    private static final int ROUNDS = 4;
    private static final int LAST_ROUND_S = 85;
    private static final long COPY_AGE_MS = 3000;
    private static final long AWAY_MS = 500;
    private static final double STABLE_S = 3;

    /** The longest `for_s` of a killed holder in the site file. */
    private static final long DOWN_MS = 3500;
    private static final int SUCCESSION_S = 14;
    private static final int WATCHED_S = 10;
    private static final int START_GAP_MS = 430;

    /** One accepted call of a duty. */
    private record Call(double at, String holder, long token, String subject, String body) {}

    private final List<Call> calls = new ArrayList<>();
    private Record record;
    private final List<Double> drillEnds = new ArrayList<>();

    public static void main(String[] arguments) throws Exception {
        new Drill().play(arguments);
    }

    private void play(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new Record(Path.of(arguments[1]));
        int result = 2;
        try (Site site = new Site(Path.of(arguments[0]), record, GATEWAYS, this::duty)) {
            result = run(site, trouble);
        } catch (Exception failure) {
            record.say("could not run: " + failure);
        }
        record.say("exit status " + result);
        System.exit(result);
    }

    private int run(Site site, boolean trouble) throws Exception {
        site.configure(1);
        site.startServers();
        site.start(START_GAP_MS);
        AtomicBoolean active = new AtomicBoolean(true);
        for (Gateway gateway : site.gateways) {
            Http.thread(() -> {
                while (active.get()) {
                    if (gateway.running()) site.request(gateway, "GET", "/read/1");
                    HostileCrowd.pause(300);
                }
            });
        }
        if (!awaitCall(0, "", 20)) throw new IllegalStateException("no duty call within 20 s");
        Thread.sleep(4000);
        for (int round = 1; round <= ROUNDS && record.seconds() < LAST_ROUND_S; round++) {
            Call last = last();
            Gateway holder =
                site.gateways.stream().filter(gateway -> gateway.name.equals(last.holder())).findFirst().orElseThrow();
            if (trouble) {
                record.say("round " + round + ": " + holder.name + ", which holds the duties, is killed");
                holder.signal("KILL");
                Http.thread(() -> startAgain(holder));
                int before = count();
                if (!awaitCall(before, holder.name, SUCCESSION_S)) throw new IllegalStateException("no successor");
                record.say("successor: " + last().holder() + " with generation number " + last().token());
                site.store.drill(COPY_AGE_MS, AWAY_MS);
                drillEnds.add(record.seconds());
            }
            Thread.sleep(WATCHED_S * 1000);
            if (broken()) return 1;
        }
        active.set(false);
        return 0;
    }

    private static void startAgain(Gateway holder) {
        HostileCrowd.pause(DOWN_MS);
        try {
            holder.start();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private synchronized int count() {
        return calls.size();
    }

    private synchronized Call last() {
        return calls.get(calls.size() - 1);
    }

    /** Waits for a call after the first [before] of another VM than [holder]. */
    private boolean awaitCall(int before, String holder, int seconds) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (count() > before && !last().holder().equals(holder)) return true;
            Thread.sleep(10);
        }
        return false;
    }

    /** Whether a window's usage was reported with different counts. */
    private synchronized boolean differentReports() {
        Map<Object, Call> first = new HashMap<>();
        boolean different = false;
        for (Call call : calls) {
            if (!call.subject().equals("/usage")) continue;
            Call other = first.putIfAbsent(Json.parseObject(call.body()).get("window"), call);
            if (other == null || other.body().equals(call.body())) continue;
            record.say("BROKEN: two reports of one window: " + other.body() + " and " + call.body());
            different = true;
        }
        return different;
    }

    /** Whether a rule was broken: different reports, or one generation number of two VMs for one subject. */
    private synchronized boolean broken() {
        Map<String, Call> first = new HashMap<>();
        boolean broken = differentReports();
        for (Call call : calls) {
            Call other = first.putIfAbsent(call.subject() + " " + call.token(), call);
            if (other == null || other.holder().equals(call.holder()) || afterDrill(call)) continue;
            record.say(String.format("BROKEN: %s sent generation number %d for %s at %.1f s, and %s sent it at %.1f s",
                other.holder(), call.token(), call.subject(), other.at(), call.holder(), call.at()));
            broken = true;
        }
        return broken;
    }

    /** Whether the store had just come back from a drill when the call was made. */
    private boolean afterDrill(Call call) {
        return drillEnds.stream().anyMatch(end -> call.at() >= end - 1 && call.at() < end + STABLE_S);
    }

    private void duty(Http.Message request, OutputStream out) throws Exception {
        String subject = request.target();
        if (subject.equals("/scale")) {
            Map<String, Object> order = Json.parseObject(request.text());
            subject += " " + order.get("service") + " " + order.get("zone");
        }
        Call call =
            new Call(record.seconds(), request.headers().get("x-duty-holder"),
                Long.parseLong(request.headers().get("x-fencing-token")), subject, request.text());
        synchronized (this) {
            calls.add(call);
        }
        record.add("platform: " + call.holder() + " generation " + call.token() + " " + subject + " " + call.body());
        Http.respond(out, 200, Map.of("Content-Type", "application/json"), "{}");
    }
}
