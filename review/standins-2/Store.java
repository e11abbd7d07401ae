import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in of the platform's store, with the drill in which it comes back from a copy some seconds old. */
final class Store {
    private record Entry(String name, long revision, long created, Object spec) {
        Map<String, Object> json() {
            Map<String, Object> metadata =
                Json.object("name", name, "revision", revision, "created_rev", created,
                    "finalizers", List.of(), "deleting", false);
            return Json.object("metadata", metadata, "spec", spec, "status", null);
        }
    }

    private record Change(long revision, long at, String kind, Entry entry, boolean removed, boolean system) {}

    private record Reply(int status, Object body) {}

    private static final long ANSWER_MS = 4;
    private static final int HISTORY_S = 20;

    private final Http http;
    private final Record record;
    private final Map<String, TreeMap<String, Entry>> kinds = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 100;
    private int era = 1;
    private boolean away;

    Store(String ip, Record record) throws IOException {
        this.record = record;
        http = new Http(ip, 0, this::handle);
    }

    String address() {
        return http.address();
    }

    /** Writes an object as the operator or a server does. */
    synchronized void write(String kind, String name, Object spec) {
        put(kind, name, spec, false);
    }

    synchronized void remove(String kind, String name) {
        Entry entry = kind(kind).remove(name);
        if (entry != null) log(kind, new Entry(name, ++revision, entry.created(), entry.spec()), true, false);
    }

    /** Goes away for [awayMs] and comes back from a copy that was made [ageMs] before that. */
    void drill(long ageMs, long awayMs) throws InterruptedException {
        synchronized (this) {
            away = true;
            long copiedAt = System.nanoTime() - ageMs * 1_000_000;
            List<Change> later = changes.stream().filter(change -> change.at() > copiedAt).toList();
            changes.removeAll(later);
            restore();
            long newest = revision;
            if (!later.isEmpty()) revision = later.get(0).revision() - 1;
            record.say("drill: the store goes away at revision " + newest + ", era " + era + "; its copy is "
                + ageMs + " ms old and of revision " + revision);
            notifyAll();
            Map<String, Change> rewritten = new LinkedHashMap<>();
            for (Change change : later) {
                if (!change.system()) rewritten.put(change.kind() + "/" + change.entry().name(), change);
            }
            for (Change change : rewritten.values()) {
                if (change.removed()) remove(change.kind(), change.entry().name());
                else put(change.kind(), change.entry().name(), change.entry().spec(), false);
            }
        }
        http.closeConnections();
        Thread.sleep(awayMs);
        synchronized (this) {
            era++;
            away = false;
        }
        record.say("drill: the store is back, era " + era);
    }

    private void restore() {
        kinds.clear();
        for (Change change : changes) {
            if (change.removed()) kind(change.kind()).remove(change.entry().name());
            else kind(change.kind()).put(change.entry().name(), change.entry());
        }
    }

    private TreeMap<String, Entry> kind(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }

    private Entry put(String kind, String name, Object spec, boolean system) {
        Entry before = kind(kind).get(name);
        if (before != null && Json.write(before.spec()).equals(Json.write(spec))) return before;
        revision++;
        Entry entry = new Entry(name, revision, before == null ? revision : before.created(), spec);
        kind(kind).put(name, entry);
        log(kind, entry, false, system);
        return entry;
    }

    private void log(String kind, Entry entry, boolean removed, boolean system) {
        changes.add(new Change(entry.revision(), System.nanoTime(), kind, entry, removed, system));
        notifyAll();
    }

    private void handle(Http.Message request, OutputStream out) throws Exception {
        Thread.sleep(ANSWER_MS + ThreadLocalRandom.current().nextInt(3));
        Reply reply = reply(request);
        if (request.method().equals("PUT") || request.method().equals("POST") || request.target().contains("/leases")) {
            record.add("store: " + request.method() + " " + request.target() + " " + request.text() + " -> "
                + reply.status() + (request.target().contains("/leases") ? " " + Json.write(reply.body()) : ""));
        }
        Http.respond(out, reply.status(),
            Map.of("Content-Type", "application/json", "Store-Era", Integer.toString(era)), Json.write(reply.body()));
    }

    private synchronized Reply reply(Http.Message request) throws Exception {
        if (away) throw new IOException("away");
        String[] parts = request.target().split("\\?", 2);
        String[] path = parts[0].split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) query.put(pair.split("=")[0], pair.split("=")[1]);
        }
        String kind = path[2];
        String name = path.length > 3 ? path[3] : null;
        return switch (request.method()) {
            case "GET" -> name == null ? many(kind, query) : one(kind, name);
            case "POST" -> create(kind, Json.parseObject(request.text()));
            case "PUT" -> replace(kind, name, Json.parseObject(request.text()));
            default -> delete(kind, name, query);
        };
    }

    private Reply one(String kind, String name) {
        Entry entry = kind(kind).get(name);
        return entry == null ? new Reply(404, Json.object()) : new Reply(200, entry.json());
    }

    private Reply many(String kind, Map<String, String> query) throws Exception {
        if (query.containsKey("watch")) return watch(kind, Long.parseLong(query.get("watch")), query);
        String after = query.getOrDefault("after", "");
        List<Object> items = new ArrayList<>();
        for (Entry entry : kind(kind).values()) {
            if (entry.name().compareTo(after) > 0) items.add(entry.json());
        }
        return new Reply(200, Json.object("items", items, "has_more", false, "store_revision", revision));
    }

    private Reply watch(String kind, long from, Map<String, String> query) throws Exception {
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        int startEra = era;
        long oldest = System.nanoTime() - HISTORY_S * 1_000_000_000L;
        if (from > revision) return new Reply(410, Json.object());
        if (changes.stream().anyMatch(change -> change.revision() > from && change.at() < oldest)) {
            return new Reply(410, Json.object());
        }
        while (true) {
            if (away || era != startEra) throw new IOException("the watch is cut off");
            List<Object> events = new ArrayList<>();
            for (Change change : changes) {
                if (change.revision() > from && change.kind().equals(kind)) {
                    events.add(Json.object("removed", change.removed(), "object", change.entry().json()));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Reply(200, Json.object("events", events, "store_revision", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> body) {
        return (Map<String, Object>) body.getOrDefault("metadata", Map.of());
    }

    private Reply create(String kind, Map<String, Object> body) {
        String name = (String) metadata(body).get("name");
        Entry existing = kind(kind).get(name);
        if (existing != null) return new Reply(409, existing.json());
        return new Reply(200, put(kind, name, body.get("spec"), true).json());
    }

    private Reply replace(String kind, String name, Map<String, Object> body) {
        Entry existing = kind(kind).get(name);
        if (existing == null) return new Reply(404, Json.object());
        Object expected = metadata(body).get("revision");
        if (expected != null && (Long) expected != existing.revision()) return new Reply(409, existing.json());
        return new Reply(200, put(kind, name, body.get("spec"), true).json());
    }

    private Reply delete(String kind, String name, Map<String, String> query) {
        Entry existing = kind(kind).get(name);
        if (existing == null) return new Reply(404, Json.object());
        String expected = query.get("revision");
        if (expected != null && Long.parseLong(expected) != existing.revision()) return new Reply(409, existing.json());
        kind(kind).remove(name);
        log(kind, new Entry(name, ++revision, existing.created(), existing.spec()), true, true);
        return new Reply(200, Json.object());
    }
}
