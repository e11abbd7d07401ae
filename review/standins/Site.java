/** The configuration and the server entries of a small installation, with the figures of the sheet of lijeska-sort. */
final class Site {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String OTHER_KEY = "h7qrwzk2m4x9c3vbt5pd";
    static final String ENGINES = "sorting-model";
    static final String PLAIN = "line-control";

    private Site() {}

    static String configuration(long version) {
        return "{\"version\":" + version + ",\"routes\":["
            + route("batch-review", "/review/", "streaming", ENGINES, 8_000, 2_500, 2, 1, ",\"sticky\":true,\"gap_aim_ms\":2000") + ","
            + route("handover-draft", "/draft/", "streaming", ENGINES, 5_000, 800, 1, 2, ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":800") + ","
            + route("inspector-query", "/query/", "streaming", ENGINES, 8_000, 500, 0, 1, ",\"sticky\":true,\"gap_aim_ms\":500") + ","
            + route("gate-command", "/gate/", "non_idempotent", PLAIN, 600, 121, 2, 1, "") + ","
            + route("belt-status", "/belt/", "idempotent", PLAIN, 600, 121, 2, 2, "")
            + "],\"services\":["
            + "{\"name\":\"" + ENGINES + "\",\"health_path\":\"/healthz\",\"max_connections\":360,\"engine\":{\"slots\":64,\"kv_capacity\":521773}},"
            + "{\"name\":\"" + PLAIN + "\",\"health_path\":\"/healthz\",\"max_connections\":100}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"]},{\"name\":\"fida11\",\"api_keys\":[\"" + OTHER_KEY + "\"]}]}";
    }

    private static String route(String name, String prefix, String type, String service, int timeoutMs, int objectiveMs, int priority, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + Fleet.HOST + "\",\"path_prefix\":\"" + prefix + "\",\"route_type\":\"" + type
            + "\",\"service\":\"" + service + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + objectiveMs
            + ",\"priority\":" + priority + ",\"max_attempts\":" + attempts + more + "}";
    }

    static String entry(String service, Backend server, int slots, String state, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"zone-a\",\"version\":1,\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + System.currentTimeMillis() + "}";
    }

    /** The fields of a request for an engine: [shared] tokens in a part that other requests share, and an own part. */
    static String prompt(String sharedId, int shared, int own, int out) {
        return "X-Model: m\r\nX-Token-Count: " + (shared + own) + "," + out + "\r\nX-Prompt-Prefix: " + sharedId + ":" + shared + ","
            + Consumer.newId() + ":" + own + "\r\nContent-Type: application/json\r\n";
    }

    /** Writes a stream of [events] events, one each [gapMs], after [firstMs]. */
    static void stream(Backend.Call call, java.io.OutputStream out, int firstMs, int events, int gapMs) throws Exception {
        Thread.sleep(firstMs);
        Wire.write(out, Backend.head(call, "200 OK", "Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n"));
        int last = Integer.parseInt(call.headers.getOrDefault("last-event-id", "0"));
        for (int number = last + 1; number <= events; number++) {
            Thread.sleep(gapMs);
            String event = "id: " + number + "\ndata: " + call.id() + "-" + number + "\n\n";
            Wire.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        Wire.write(out, "0\r\n\r\n");
    }

    static String streamBody(String id, int events) {
        StringBuilder body = new StringBuilder();
        for (int number = 1; number <= events; number++) body.append("id: ").append(number).append("\ndata: ").append(id).append('-').append(number).append("\n\n");
        return body.toString();
    }
}
