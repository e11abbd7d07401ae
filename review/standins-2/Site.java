import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses: a store, servers, gateways and the operator's configuration. */
final class Site implements AutoCloseable {
    static final String HOST = "site.example";
    static final String KEY = "key-one-0123456789ab";
    private static final String PLAIN = "line-control";
    private static final String MODEL = "sorting-model";
    private static final int TIMEOUT_MS = 4000;

    final Record record;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    private final String network;
    private final Path root;
    private final Path folder;
    private final int peerPort;
    private final String duties;
    private final AtomicLong requests = new AtomicLong();
    private final long run = System.nanoTime() & 0xffffff;

    /** What a consumer got: a status, or 0 if there was no answer within its time limit. */
    record Answer(int status, boolean whole, long milliseconds) {}

    Site(Path root, Record record, int gatewayCount, Http.Handler dutyHandler) throws IOException {
        this.root = root;
        this.record = record;
        folder = Files.createTempDirectory("review");
        Random random = new Random();
        network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        store = new Store(network + "1", record);
        duties = dutyHandler == null ? null : new Http(network + "2", 0, dutyHandler).address();
        peerPort = Gateway.freePort(network + "11");
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, gatewayCount); i++) seeds.add(network + (11 + i));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::destroy)));
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(
                new Gateway(root, folder, "edge-hall-a-" + (i + 1), network + (11 + i), peerPort, seeds, store.address(),
                    duties));
        }
    }

    /** An address that belongs to this deployment. */
    String ip(int number) {
        return network + number;
    }

    /** Writes a configuration with an idempotent route of the plain service and one for streams of the model servers. */
    void configure(long version) {
        List<Object> routes = List.of(
            route("read", "/read/", "idempotent", 2L, PLAIN), route("stream", "/stream/", "streaming", 1L, MODEL));
        Map<String, Object> plain =
            Json.object("name", PLAIN, "health_path", "/healthz", "max_connections", 100L, "protocol", "h1", "tls", false);
        Map<String, Object> model =
            Json.object("name", MODEL, "health_path", "/healthz", "max_connections", 360L, "protocol", "h1", "tls", false,
                "engine", Json.object("slots", 64L, "kv_capacity", 521773L));
        Map<String, Object> limits =
            Json.object("max_header_bytes", 16384L, "max_body_bytes", 4194304L, "header_timeout_ms", 3000L,
                "idle_timeout_ms", 15000L);
        store.write("config", "main", Json.object("version", version, "routes", routes, "services", List.of(plain, model),
            "limits", limits, "tenants", List.of(Json.object("name", "tenant-one", "api_keys", List.of(KEY)))));
    }

    /** Starts and registers the servers of both services. */
    void startServers() throws IOException {
        for (int i = 0; i < 3; i++) new Backend(ip(101 + i), "i-plain-" + i, 15, record).register(store, PLAIN, "hall-a");
        for (int i = 0; i < 6; i++) new Backend(ip(121 + i), "i-model-" + i, 15, record).register(store, MODEL, "hall-a");
    }

    private static Map<String, Object> route(String name, String prefix, String type, long attempts, String service) {
        long timeoutMs = service.equals(MODEL) ? 2 * TIMEOUT_MS : TIMEOUT_MS;
        return Json.object("name", name, "host", HOST, "path_prefix", prefix, "route_type", type, "timeout_ms",
            timeoutMs, "resumable", false, "gap_aim_ms", 1000L, "sticky", service.equals(MODEL), "target_latency_ms", 400L,
            "priority", 1L, "service", service, "max_attempts", attempts, "public", false);
    }

    /** Starts all gateways, [gapMs] apart, and waits until each of them is ready. */
    void start(long gapMs) throws Exception {
        for (Gateway gateway : gateways) {
            gateway.start();
            Thread.sleep(gapMs);
        }
        long end = System.nanoTime() + 25_000_000_000L;
        for (Gateway gateway : gateways) {
            while (probe(gateway) != 200) {
                if (System.nanoTime() > end) throw new IOException(gateway.name + " does not become ready");
                Thread.sleep(100);
            }
        }
        record.say(gateways.size() + " gateways are ready");
    }

    /** The status of the readiness address; 0 without an answer within a second. */
    int probe(Gateway gateway) {
        return exchange(gateway.ip, gateway.readinessPort, "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
            null, 1000).status();
    }

    /** Sends one request of an ordinary consumer on a new connection. */
    Answer request(Gateway gateway, String method, String path) {
        String id = "r" + Long.toHexString(run) + "-" + requests.incrementAndGet();
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + TIMEOUT_MS + "\r\nX-Api-Key: " + KEY + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        record.add("consumer sends " + id + " " + method + " " + path + " to " + gateway.name);
        Answer answer = exchange(gateway.ip, gateway.callerPort, head, "body-" + id, TIMEOUT_MS);
        record.add("consumer got " + answer.status() + " for " + id + " after " + answer.milliseconds() + " ms");
        return answer;
    }

    private static Answer exchange(String ip, int port, String head, String body, int timeoutMs) {
        long started = System.nanoTime();
        int status = 0;
        boolean whole = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            if (response != null) {
                status = response.status();
                whole = body != null && body.equals(response.text()) && response.headers().containsKey("x-server-stamp");
            }
        } catch (IOException noAnswer) {
            status = 0;
        }
        return new Answer(status, whole, (System.nanoTime() - started) / 1_000_000);
    }

    /** Ends the gateways and deletes their settings and logs. */
    @Override
    public void close() {
        gateways.forEach(Gateway::destroy);
        File[] files = folder.toFile().listFiles();
        if (files != null) Arrays.stream(files).forEach(File::delete);
        folder.toFile().delete();
    }
}
