import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store and of its calls for duties. */
final class Store implements AutoCloseable {
    private static final class Item {
        final String name;
        final long created;
        long revision;
        Object spec;
        Object status;

        Item(String name, long created) {
            this.name = name;
            this.created = created;
        }

        String json() {
            Map<String, Object> meta = new LinkedHashMap<>();
            meta.put("name", name);
            meta.put("revision", revision);
            meta.put("created_rev", created);
            meta.put("finalizers", List.of());
            meta.put("deleting", false);
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("metadata", meta);
            all.put("spec", spec);
            all.put("status", status);
            return Json.write(all);
        }
    }

    private record Event(String kind, long revision, String json, boolean removed) {}

    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final HttpServer server;
    private final Record record;
    private long revision = 100;

    /** While true, every call gets 503: nothing was done. */
    volatile boolean down;

    /** Items of a page of a listing. */
    volatile int pageItems = 500;

    /** Time that an answer takes. */
    volatile int answerMs;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized long put(String kind, String name, String spec) {
        TreeMap<String, Item> items = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Item item = items.get(name);
        if (item == null) {
            item = new Item(name, revision + 1);
            items.put(name, item);
        }
        item.spec = Json.read(spec);
        changed(kind, item, false);
        return item.revision;
    }

    synchronized void remove(String kind, String name) {
        Item item = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (item != null) changed(kind, item, true);
    }

    private void changed(String kind, Item item, boolean removed) {
        item.revision = ++revision;
        history.add(new Event(kind, revision, item.json(), removed));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] path = exchange.getRequestURI().getPath().split("/");
        try {
            if (path[1].equals("usage") || path[1].equals("scale")) {
                record.line("duty %s holder=%s token=%s %s", path[1], header(exchange, "X-Duty-Holder"), header(exchange, "X-Fencing-Token"), body);
                answer(exchange, 200, "{}");
            } else if (down) {
                answer(exchange, 503, "{}");
            } else {
                objects(exchange, path[2], path.length > 3 ? path[3] : null, query(exchange), body);
            }
        } catch (IOException gone) {
            exchange.close();
        } catch (Exception failure) {
            record.line("store failed: %s", failure);
            exchange.close();
        }
    }

    private void objects(HttpExchange exchange, String kind, String name, Map<String, String> query, String body) throws Exception {
        switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (name != null) {
                    get(exchange, kind, name);
                } else if (query.containsKey("watch")) {
                    watch(exchange, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                } else {
                    list(exchange, kind, query.get("after"));
                }
            }
            case "POST" -> write(exchange, kind, null, body);
            case "PUT" -> write(exchange, kind, name, body);
            default -> delete(exchange, kind, name, query.get("revision"));
        }
    }

    private void get(HttpExchange exchange, String kind, String name) throws IOException {
        String json;
        synchronized (this) {
            Item item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            json = item == null ? null : item.json();
        }
        answer(exchange, json == null ? 404 : 200, json == null ? "{}" : json);
    }

    private void list(HttpExchange exchange, String kind, String after) throws IOException {
        StringBuilder items = new StringBuilder();
        boolean more;
        long at;
        synchronized (this) {
            TreeMap<String, Item> all = kinds.getOrDefault(kind, new TreeMap<>());
            int count = 0;
            more = false;
            for (Item item : (after == null ? all : all.tailMap(after, false)).values()) {
                if (count++ == pageItems) {
                    more = true;
                    break;
                }
                items.append(items.isEmpty() ? "" : ",").append(item.json());
            }
            at = revision;
        }
        answer(exchange, 200, "{\"items\":[" + items + "],\"has_more\":" + more + ",\"store_revision\":" + at + "}");
        if (kind.equals("servers")) record.line("list after=%s more=%s revision=%d", after, more, at);
    }

    private void watch(HttpExchange exchange, String kind, long from, long waitMs) throws Exception {
        long end = System.nanoTime() + waitMs * 1_000_000;
        StringBuilder events = new StringBuilder();
        long at;
        synchronized (this) {
            while (true) {
                for (Event event : history) {
                    if (event.revision <= from || !event.kind.equals(kind)) continue;
                    events.append(events.isEmpty() ? "" : ",").append("{\"object\":").append(event.json).append(",\"removed\":").append(event.removed).append('}');
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0 || down) break;
                wait(Math.min(left, 50));
            }
            at = revision;
        }
        if (down) answer(exchange, 503, "{}");
        else answer(exchange, 200, "{\"events\":[" + events + "],\"store_revision\":" + at + "}");
    }

    private void write(HttpExchange exchange, String kind, String name, String body) throws IOException {
        Map<String, Object> object = Json.object(body);
        Map<?, ?> meta = (Map<?, ?>) object.get("metadata");
        String target = name == null ? (String) meta.get("name") : name;
        Object expected = meta.get("revision");
        int status = 200;
        String json;
        synchronized (this) {
            TreeMap<String, Item> items = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            Item item = items.get(target);
            if (name == null && item != null || item != null && expected != null && Long.parseLong(expected.toString()) != item.revision) {
                status = 409;
            } else if (name != null && item == null) {
                status = 404;
            } else {
                if (item == null) {
                    item = new Item(target, revision + 1);
                    items.put(target, item);
                }
                item.spec = object.get("spec");
                changed(kind, item, false);
            }
            json = item == null ? "{}" : item.json();
        }
        answer(exchange, status, json);
    }

    private void delete(HttpExchange exchange, String kind, String name, String expected) throws IOException {
        int status = 200;
        synchronized (this) {
            Item item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            if (item == null) status = 404;
            else if (expected != null && Long.parseLong(expected) != item.revision) status = 409;
            else remove(kind, name);
        }
        answer(exchange, status, "{}");
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String query = exchange.getRequestURI().getQuery();
        if (query != null) for (String pair : query.split("&")) result.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
        return result;
    }

    private static String header(HttpExchange exchange, String name) {
        return exchange.getRequestHeaders().getFirst(name);
    }

    private void answer(HttpExchange exchange, int status, String body) throws IOException {
        try {
            Thread.sleep(answerMs);
        } catch (InterruptedException stopped) {
            throw new IOException(stopped);
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
