import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Gateway processes, started with the command of the deploy file on loopback addresses of their own. */
final class Fleet implements AutoCloseable {
    static final String HOST = "desk.example";

    /** One process and its addresses. */
    static final class Gateway {
        String name;
        String ip;
        Path settings;
        Path log;
        Process process;
        int starts;
    }

    final List<Gateway> gateways = new ArrayList<>();
    private final Record record;
    private final Path folder;
    private final int frontend;
    private final int readiness;
    private final int peer;

    Fleet(int count, Store store, Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review");
        long pid = ProcessHandle.current().pid();
        String net = "127." + (1 + (int) (pid >> 8) % 250) + "." + (1 + (int) (pid & 0xff) % 250) + ".";
        frontend = freePort();
        readiness = freePort();
        peer = freePort();
        for (int index = 0; index < count; index++) {
            Gateway gateway = new Gateway();
            gateway.name = "edge-" + (index + 1);
            gateway.ip = net + (index + 1);
            gateway.settings = folder.resolve(gateway.name + ".yaml");
            gateway.log = folder.resolve(gateway.name + ".log");
            gateways.add(gateway);
        }
        String seeds = gateways.stream().limit(3).map(gateway -> "\"" + gateway.ip + ":" + (readiness + 1) + "\"").reduce((one, other) -> one + "," + other).orElse("");
        for (Gateway gateway : gateways) {
            // The fields of platform/settings.json.template, with the bounds of the small sites.
            Files.writeString(gateway.settings, """
                {"vm_id": "%s", "region": "local", "failure_domain": "zone-a", "ip": "%s",
                 "caller_address": "%s:%d", "readiness_address": "%s:%d", "peer_ports": [%d, %d], "seeds": [%s],
                 "platform_url": "http://%s", "duty_url": "http://%s", "duties": ["usage_report", "autoscale"],
                 "stop_seconds": 8, "retry_ratio": 0.2, "retry_spare": 54, "retry_window_seconds": 10,
                 "lease_seconds": 3000e-3, "usage_window_seconds": 5, "usage_due_seconds": 10, "configuration_seconds": 2000e-3}
                """.formatted(gateway.name, gateway.ip, gateway.ip, frontend, gateway.ip, readiness, peer, peer + 15, seeds, store.address(), store.address()));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The address for consumers of gateway [index]. */
    String frontend(int index) {
        return gateways.get(index).ip + ":" + frontend;
    }

    void start(Gateway gateway) throws IOException {
        List<String> command = new ArrayList<>(List.of(System.getProperty("gateway.command").trim().split("\\s+")));
        command.replaceAll(word -> word.equals("/etc/tarragonport/local.yaml") ? gateway.settings.toString() : word);
        gateway.process = new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(gateway.log.toFile()))
            .start();
        gateway.starts++;
        record.line("start %s pid=%d", gateway.name, gateway.process.pid());
    }

    void startAll() throws Exception {
        for (Gateway gateway : gateways) start(gateway);
        for (Gateway gateway : gateways) awaitReady(gateway);
    }

    void awaitReady(Gateway gateway) throws Exception {
        for (int round = 0; round < 300; round++) {
            if (ready(gateway)) {
                record.line("ready %s", gateway.name);
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(gateway.name + " is not ready after 30 s");
    }

    boolean ready(Gateway gateway) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL("http://" + gateway.ip + ":" + readiness + "/readyz").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(1_000);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    /** Sends [signal] to the process of [gateway], for example "STOP" or "CONT". */
    void signal(Gateway gateway, String signal) throws Exception {
        record.line("signal %s %s", signal, gateway.name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(gateway.process.pid())).inheritIO().start().waitFor();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        for (Gateway gateway : gateways) if (gateway.process != null) gateway.process.destroyForcibly();
        try {
            for (Gateway gateway : gateways) if (gateway.process != null) gateway.process.waitFor();
            for (Gateway gateway : gateways) {
                Files.deleteIfExists(gateway.settings);
                if (System.getProperty("keep.logs") == null) Files.deleteIfExists(gateway.log);
            }
            if (System.getProperty("keep.logs") == null) Files.deleteIfExists(folder);
        } catch (IOException | InterruptedException failure) {
            System.err.println("cleaning up: " + failure);
        }
    }
}
