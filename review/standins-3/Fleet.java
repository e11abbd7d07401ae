import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gateways as separate processes, started with the command of the deploy file, and the record of a case. */
final class Fleet implements AutoCloseable {
    /** One gateway. */
    final class Gateway {
        final String ip;
        final String id;
        final int port;
        private final int readinessPort;
        private final File settings;
        private Process process;

        private Gateway(int number) throws IOException {
            ip = address(number);
            id = "edge-a-" + (1 + number);
            port = freePort(ip);
            readinessPort = freePort(ip);
            settings = folder.resolve(id + ".json").toFile();
            Files.writeString(settings.toPath(), """
                    {"vm_id": "%s", "region": "here", "failure_domain": "a", "ip": "%s",
                     "caller_address": "%s:%d", "readiness_address": "%s:%d", "metrics_port": %d,
                     "peer_ports": [%d, %d], "seeds": ["%s:1", "%s:1", "%s:1"],
                     "platform_url": "http://%s", "duty_url": "http://%s", "duties": ["usage_report"],
                     "stop_seconds": 8, "retry_ratio": 0.2, "retry_spare": 54, "retry_window_seconds": 10,
                     "lease_seconds": 3.0, "usage_window_seconds": 5, "usage_due_seconds": 10,
                     "configuration_seconds": 2.0}
                    """.formatted(id, ip, ip, port, ip, readinessPort, freePort(ip), peerPort, peerPort,
                    address(0), address(1), address(2),
                    store.address(), store.address()));
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runCommand.split(" ")));
            command.replaceAll(word -> word.equals(SETTINGS) ? settings.toString() : word);
            process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(id + ".log").toFile())).start();
        }

        long pid() {
            return process.pid();
        }

        boolean alive() {
            return process.isAlive();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        boolean ready() {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL("http://" + ip + ":" + readinessPort + "/readyz")
                        .openConnection();
                call.setConnectTimeout(1000);
                call.setReadTimeout(1000);
                return call.getResponseCode() == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        void awaitReady() {
            for (int round = 0; round < 200; round++) {
                if (ready()) return;
                Threads.sleep(100);
            }
            throw new IllegalStateException(id + " did not get ready");
        }
    }

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final String SETTINGS = "/etc/tarragonport/local.yaml";
    final Store store = new Store();
    final List<Gateway> gateways = new ArrayList<>();
    final Path folder = Files.createTempDirectory("review-3");
    private final Path root;
    private final PrintWriter record;
    private final String runCommand;
    private final int peerPort = freePort(address(0));

    /** [root] is the folder of the project, [caseFolder] that of the case, which gets the record. */
    Fleet(String root, String caseFolder, int count) throws IOException {
        this.root = Path.of(root);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(this.root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("no command in the deploy file");
        runCommand = run.group(1);
        if (!Files.exists(this.root.resolve("target/tarragonportd.jar"))) throw new IOException("not built");
        for (int number = 0; number < count; number++) gateways.add(new Gateway(number));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    void start() throws IOException {
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) gateway.awaitReady();
        note("gateways are ready: " + gateways.size() + ", trouble: " + TROUBLE);
    }

    synchronized void note(String line) {
        record.println(Threads.elapsedMs() + " ms  " + line);
        record.flush();
    }

    void say(String line) {
        note(line);
        System.out.println(line);
    }

    /** Writes the configuration; [routes] and [services] are lists in JSON. */
    void configure(String routes, String services) {
        store.put("config", "main", Json.parse("""
                {"version": 7, "routes": %s, "services": %s,
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000},
                 "tenants": [{"name": "hule930", "api_keys": ["key1"]}]}""".formatted(routes, services)));
    }

    static String route(String name, String type, int timeoutMs, int targetMs, String service, int attempts,
            String more) {
        return """
                {"name": "r-%s", "host": "svc.example", "path_prefix": "/%s/", "route_type": "%s", "timeout_ms": %d,
                 "target_latency_ms": %d, "priority": 1, "service": "%s", "max_attempts": %d, "public": false%s}
                """.formatted(name, name, type, timeoutMs, targetMs, service, attempts, more);
    }

    /** The address of a gateway; runs at the same time use other ones, so that they do not take each other's ports. */
    private static String address(int number) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + (11 + number);
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private synchronized void end() {
        for (Gateway gateway : gateways) if (gateway.process != null) gateway.process.destroyForcibly();
        record.flush();
    }

    @Override
    public void close() {
        end();
    }
}
