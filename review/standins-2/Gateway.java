import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that runs as a process of its own with the command of the deploy file. */
final class Gateway {
    /** `max_fds` of the site's machines. */
    private static final int MAXIMUM_DESCRIPTORS = 4100;

    final String name;
    final String ip;
    final int callerPort;
    final int readinessPort;
    private final Path root;
    private final Path settings;
    private final File log;
    private Process process;

    /**
     * A gateway on [ip] whose settings are those of a machine of the site `lijeska-sort`. [peerPort] is the same for all
     * gateways; [seeds] are their addresses.
     */
    Gateway(Path root, Path folder, String name, String ip, int peerPort, List<String> seeds, String store, String duties)
        throws IOException {
        this.root = root;
        this.name = name;
        this.ip = ip;
        callerPort = freePort(ip);
        readinessPort = freePort(ip);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log").toFile();
        Map<String, Object> values = Json.object(
            "vm_id", name, "region", "slavonija", "failure_domain", "hall-a", "ip", ip,
            "caller_address", ip + ":" + callerPort, "readiness_address", ip + ":" + readinessPort,
            "metrics_port", (long) freePort(ip), "peer_ports", List.of((long) peerPort, peerPort + 15L),
            "seeds", seeds.stream().map(seed -> seed + ":" + peerPort).toList(),
            "platform_url", "http://" + store, "stop_seconds", 8L, "retry_ratio", 0.2, "retry_spare", 54L,
            "retry_window_seconds", 10L, "lease_seconds", 3L, "usage_window_seconds", 5L, "usage_due_seconds", 10L,
            "configuration_seconds", 2L);
        if (duties != null) {
            values.put("duty_url", "http://" + duties);
            values.put("duties", List.of("usage_report", "autoscale"));
        }
        Files.writeString(settings, Json.write(values));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** The words of the deploy file's command, with this gateway's settings file and the limit of descriptors. */
    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("the deploy file has no command");
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        words.set(words.size() - 1, settings.toString());
        words.addAll(0, List.of("sh", "-c", "ulimit -n " + MAXIMUM_DESCRIPTORS + " && exec \"$@\"", "sh"));
        return words;
    }

    void start() throws IOException {
        process =
            new ProcessBuilder(command())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    boolean running() {
        return process.isAlive();
    }

    /** Sends [signal] (such as `TERM`) to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Whether the process ends within [milliseconds]. */
    boolean endsWithin(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
    }

    int exitValue() {
        return process.exitValue();
    }

    void destroy() {
        if (process != null) process.destroyForcibly();
    }

    /** Lines of the process's output that contain [text]. */
    long logged(String text) throws IOException {
        try (var lines = Files.lines(log.toPath())) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    /** Resident memory in megabytes; 0 if the process has ended. */
    long residentMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS")) return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        } catch (IOException ended) {
            return 0;
        }
        return 0;
    }
}
