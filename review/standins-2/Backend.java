import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stand-in of a server: runs each request for a fixed time and answers with its stamp, or with a stream of events on paths
 * that begin with `/stream/`.
 */
final class Backend {
    private static final int EVENTS = 20;
    private static final int FIRST_EVENT_MS = 20;
    private static final int EVENT_MS = 250;

    private final String id;
    private final Http http;
    private final long born = System.currentTimeMillis();

    Backend(String ip, String id, long workMs, Record record) throws IOException {
        this.id = id;
        http = new Http(ip, 0, (request, out) -> {
            if (request.target().equals("/healthz")) {
                Http.respond(out, 200, Map.of("X-Instance-Id", id), "");
                return;
            }
            String requestId = request.headers().getOrDefault("x-request-id", "");
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Request-Id", requestId);
            headers.put("Keep-Alive", "timeout=10");
            if (!id.equals(request.headers().getOrDefault("x-expect-instance", id))) {
                headers.put("X-Instance-Id", id);
                Http.respond(out, 421, headers, "");
                return;
            }
            record.add("server " + id + " runs " + requestId);
            if (request.target().startsWith("/stream/")) {
                stream(out, requestId, request.target().startsWith("/stream/short") ? 1 : EVENTS);
                return;
            }
            Thread.sleep(workMs);
            headers.put("X-Server-Stamp", "stamp-" + requestId);
            Http.respond(out, 200, headers, "body-" + requestId);
        });
    }

    /** Sends a stream of [events], some time apart; the end follows the last one at once. */
    private static void stream(OutputStream out, String requestId, int events) throws Exception {
        String head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: "
                + requestId + "\r\nX-Server-Stamp: stamp-" + requestId + "\r\nKeep-Alive: timeout=10\r\n\r\n";
        StringBuilder message = new StringBuilder(head);
        for (int i = 1; i <= events; i++) {
            Thread.sleep(i == 1 ? FIRST_EVENT_MS : EVENT_MS);
            String event = "id: " + i + "\ndata: " + requestId + "\n\n";
            message.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
            if (i == events) message.append("0\r\n\r\n");
            out.write(message.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            message.setLength(0);
        }
    }

    /** Registers the server in the [store]. */
    void register(Store store, String service, String zone) {
        store.write("servers", id, Json.object("service", service, "address", http.address(), "zone", zone,
            "version", "v1", "slots", 64L, "state", "ready", "cold_remaining_ms", 0L, "sequence", 1L, "born", born));
    }
}
