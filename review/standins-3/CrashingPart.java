import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One part of prompts crashes each model server that begins to answer it; the servers' streams end with their
 * connections. Sound requests with the same key and first part must still begin at servers, and requests with the bad
 * part must stop to reach them soon after the fifth crash.
 */
final class CrashingPart {
    private static final int ENGINES = 6;
    private static final int LENGTH_S = 60;
    private static final int CALM_MS = 12_000;
    private static final int BAD_INTERVAL_MS = 700;
    private static final int DOWN_MS = 2_000;
    private static final int STABLE_MS = 3_000;
    private static final int ALLOWED = 3;
    private static final int FEWEST = 20;
    private static final boolean FRAMED = Boolean.getBoolean("framed");
    private static final List<Long> CRASHES = new CopyOnWriteArrayList<>();
    private static final List<Long> BAD_ARRIVALS = new CopyOnWriteArrayList<>();
    private static final Map<String, Long> SOUND_SENT = new ConcurrentHashMap<>();
    private static final Set<String> SOUND_BEGUN = ConcurrentHashMap.newKeySet();
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();

    public static void main(String[] arguments) throws Exception {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String root, String caseFolder) throws Exception {
        try (Fleet fleet = new Fleet(root, caseFolder, 2)) {
            fleet.configure("[" + Fleet.route("chat", "streaming", 8000, 500, "llm", 1,
                    ", \"sticky\": true, \"resumable\": false, \"gap_aim_ms\": 500") + "]",
                    "[{\"name\": \"llm\", \"health_path\": \"/healthz\", \"max_connections\": 360,"
                    + "\"engine\": {\"slots\": 64, \"kv_capacity\": 521773}}]");
            List<Thread> supervisors = new ArrayList<>();
            for (int number = 0; number < ENGINES; number++) {
                int port = freePort();
                int engine = number;
                supervisors.add(Threads.start("supervisor", () -> supervise(fleet, engine, port)));
            }
            Threads.sleep(2_000);
            fleet.start();
            return play(fleet);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a server, and again some seconds after each crash, each time under a new id. */
    private static void supervise(Fleet fleet, int number, int port) throws Exception {
        for (int start = 0; ; start++) {
            String id = "engine-" + number + "-" + start;
            Process process = new ProcessBuilder("java", "-Xmx32m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData", "-cp", System.getProperty("java.class.path"), "Engine", id,
                    Integer.toString(port), Boolean.toString(Fleet.TROUBLE), Boolean.toString(FRAMED))
                    .redirectError(ProcessBuilder.Redirect.DISCARD).start();
            PROCESSES.add(process);
            BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
            String line;
            while ((line = lines.readLine()) != null) {
                if (line.equals("listening")) {
                    fleet.store.put("servers", id, Server.entry("llm", "127.0.0.1:" + port, 64, "ready"));
                } else if (line.startsWith("bad ")) {
                    BAD_ARRIVALS.add(Threads.elapsedMs());
                    fleet.note(id + " received request " + line.substring(4) + " with the bad part");
                } else if (line.startsWith("sound ")) {
                    SOUND_BEGUN.add(line.substring(6));
                } else if (line.startsWith("crash ")) {
                    CRASHES.add(Threads.elapsedMs());
                    fleet.note(id + " crashed, crash " + CRASHES.size());
                }
            }
            process.waitFor();
            // The entry of a crashed server stays for three heartbeats.
            Threads.start("expiry", () -> {
                Threads.sleep(3_600);
                fleet.store.remove("servers", id);
            });
            Threads.sleep(DOWN_MS);
        }
    }

    private static int play(Fleet fleet) {
        long start = Threads.elapsedMs();
        long end = start + LENGTH_S * 1000;
        for (Fleet.Gateway gateway : fleet.gateways) {
            for (int number = 0; number < 4; number++) {
                String subject = "50bd" + number;
                Threads.start("sound", () -> {
                    while (Threads.elapsedMs() < end) {
                        String id = Caller.newId();
                        SOUND_SENT.put(id, Threads.elapsedMs());
                        String outcome = request(gateway, id, "5ead01:210," + subject + ":140,");
                        fleet.note("sound request " + id + " at " + gateway.id + ": " + outcome);
                        Threads.sleep(300);
                    }
                });
            }
        }
        Threads.start("bad", () -> {
            Threads.sleep(CALM_MS);
            for (int number = 0; Threads.elapsedMs() < end; number++) {
                Threads.sleep(BAD_INTERVAL_MS);
                Fleet.Gateway gateway = fleet.gateways.get(number % fleet.gateways.size());
                String id = Caller.newId();
                Threads.start("bad request", () -> fleet.note("request " + id + " with the bad part at " + gateway.id
                        + ": " + request(gateway, id, "5ead01:210," + Engine.BAD_PART + ":140,")));
            }
        });
        while (Threads.elapsedMs() < end) Threads.sleep(100);
        return judge(fleet, start + CALM_MS, end);
    }

    private static int judge(Fleet fleet, long calmEnd, long end) {
        boolean crashed = !CRASHES.isEmpty();
        long last = crashed ? CRASHES.get(Math.min(CRASHES.size(), 5) - 1) : Long.MAX_VALUE / 2;
        long[] calm = begun(0, calmEnd);
        long[] after = begun(last + 2 * STABLE_MS, end - 1_000);
        long late = CRASHES.size() < 5 ? 0 : BAD_ARRIVALS.stream().filter(time -> time > last + STABLE_MS).count();
        boolean lost = calm[0] >= FEWEST && after[0] >= FEWEST && after[1] * calm[0] * 2 < calm[1] * after[0];
        fleet.say("crashes: " + CRASHES.size() + "; sound requests that began at a server: " + calm[1] + " of "
                + calm[0] + " in calm, " + after[1] + " of " + after[0] + " later than " + 2 * STABLE_MS
                + " ms after the " + (CRASHES.size() < 5 ? "last" : "fifth") + " crash (less than half as often breaks LOST: "
                + lost + "); requests with the bad part at servers: " + BAD_ARRIVALS.size() + ", of these " + late
                + " later than " + STABLE_MS + " ms after the fifth crash (" + ALLOWED + " allowed by BUDGET)");
        return lost || late > ALLOWED ? 1 : 0;
    }

    /** Number of sound requests sent in an interval, and of those that began at a server. */
    private static long[] begun(long from, long until) {
        long sent = 0;
        long begun = 0;
        for (Map.Entry<String, Long> request : SOUND_SENT.entrySet()) {
            if (request.getValue() < from || request.getValue() >= until) continue;
            sent++;
            if (SOUND_BEGUN.contains(request.getKey())) begun++;
        }
        return new long[] {sent, begun};
    }

    private static String request(Fleet.Gateway gateway, String id, String parts) {
        String fields = "X-Model: m\r\nX-Token-Count: 1110,60\r\nX-Prompt-Prefix: " + parts + id + ":760\r\n";
        try (Caller caller = new Caller(gateway, 8500)) {
            byte[] body = Http.bytes("prompt of " + id);
            caller.send(Caller.head("POST", "/chat/a", id, 8000, body.length, fields), body);
            Http.Response response = caller.read();
            return response == null ? "closed without an answer" : "status " + response.status();
        } catch (IOException | RuntimeException exception) {
            return "broken off: " + exception.getMessage();
        }
    }
}
