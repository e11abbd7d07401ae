import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary consumers send requests to a gateway before, during and after the time of a crowd of other clients. Checks
 * that the gateway neither ends nor hangs: it serves the consumers, and a SIGTERM after that ends it within `grace_s`.
 */
abstract class HostileCrowd {
    private static final int CALM_S = 8;
    /** Time until the crowd has its effect, in which the consumers are not judged. */
    private static final int GATHERING_S = 5;
    private static final int CROWD_S = 20;
    private static final int REST_S = 5;
    private static final int GRACE_MS = 8000;
    private static final int SLACK_MS = 2000;
    private static final int CONSUMERS = 5;

    /** Number of the crowd's clients, each of which has one connection at a time. */
    abstract int clients();

    /** What one client does until [active] is false. */
    abstract void client(Gateway gateway, AtomicBoolean active) throws Exception;

    /** One line on what the crowd has sent. */
    abstract String summary();

    void play(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        int result = 2;
        try (Site site = new Site(Path.of(arguments[0]), record, 2, null)) {
            result = run(site, record, trouble);
        } catch (Exception failure) {
            record.say("could not run: " + failure);
        }
        record.say("exit status " + result);
        System.exit(result);
    }

    private int run(Site site, Record record, boolean trouble) throws Exception {
        site.configure(1);
        site.startServers();
        site.start(0);
        Gateway gateway = site.gateways.get(0);
        Thread.sleep(3000);

        double before = serve(site, gateway, CALM_S, "calm");
        AtomicBoolean active = new AtomicBoolean(trouble);
        for (int i = 0; i < clients() && trouble; i++) Http.thread(() -> repeat(gateway, active));
        serve(site, gateway, GATHERING_S, trouble ? "crowd gathers" : "no crowd");
        double during = serve(site, gateway, CROWD_S, trouble ? "crowd" : "no crowd");
        active.set(false);
        if (trouble) record.say(summary());
        boolean running = gateway.running();
        double after = serve(site, gateway, REST_S, "after it");
        record.say("the process runs: " + gateway.running() + ", resident memory " + gateway.residentMb() + " MB");
        if (!running || !gateway.running()) {
            record.say("BROKEN: the process ended by itself");
            return 1;
        }
        boolean broken = false;
        if (during < before / 4 || after < before / 4) {
            record.say("BROKEN: ordinary consumers were served less than a quarter as often as before");
            broken = true;
        }
        record.say("SIGTERM to " + gateway.name);
        gateway.signal("TERM");
        if (gateway.endsWithin(GRACE_MS + SLACK_MS)) {
            record.say("the process ended with status " + gateway.exitValue());
        } else {
            record.say("BROKEN: the process has not ended " + (GRACE_MS + SLACK_MS) + " ms after SIGTERM; it hangs");
            broken = true;
        }
        record.say("log lines with OutOfMemoryError: " + gateway.logged("OutOfMemoryError"));
        return broken ? 1 : 0;
    }

    private void repeat(Gateway gateway, AtomicBoolean active) {
        while (active.get()) {
            try {
                client(gateway, active);
            } catch (Exception closed) {
                pause(200);
            }
        }
    }

    /** Sends requests of ordinary consumers for some seconds and returns the share that was served. */
    private static double serve(Site site, Gateway gateway, int seconds, String phase) throws Exception {
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        Thread[] threads = new Thread[CONSUMERS];
        for (int i = 0; i < CONSUMERS; i++) {
            threads[i] = Http.thread(() -> {
                while (System.nanoTime() < end) {
                    sent.incrementAndGet();
                    if (site.request(gateway, "GET", "/read/1").whole()) served.incrementAndGet();
                    pause(200);
                }
            });
        }
        for (Thread thread : threads) thread.join();
        site.record.say(phase + ": " + served.get() + " of " + sent.get() + " requests of ordinary consumers were served");
        return (double) served.get() / Math.max(1, sent.get());
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
