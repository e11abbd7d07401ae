import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Set;

/** Stand-in for the platform's metadata store and for the calls reserved to the holder of the duties. */
final class Store {
    /** SILENT: no response to any call, and new ones hang. BUSY: 503 to each call. */
    enum Mode { UP, SILENT, BUSY }

    private record Entry(String kind, String name, long revision, long created, Object spec) {}

    private record Change(long revision, Entry entry, boolean removed) {}

    /** A copy of the content at some time. */
    static final class Copy {
        private final TreeMap<String, Entry> entries;
        private final long revision;

        private Copy(TreeMap<String, Entry> entries, long revision) {
            this.entries = entries;
            this.revision = revision;
        }
    }

    private TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long firstKept = 0;
    private Long era;
    private volatile Mode mode = Mode.UP;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> watchers = ConcurrentHashMap.newKeySet();
    private volatile long watchedFrom = Long.MAX_VALUE;
    final List<String> dutyCalls = new CopyOnWriteArrayList<>();
    final ServerSocket listener;

    Store() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Changes how calls are answered; a store that goes away breaks off the calls that wait. */
    void mode(Mode changed) {
        mode = changed;
        if (changed == Mode.BUSY) closeSockets();
        synchronized (this) {
            notifyAll();
        }
    }

    synchronized void era(long number) {
        era = number;
    }

    synchronized void put(String kind, String name, Object spec) {
        String key = kind + "/" + name;
        Entry before = entries.get(key);
        if (before != null && Json.print(before.spec).equals(Json.print(spec))) return;
        revision++;
        Entry entry = new Entry(kind, name, revision, before == null ? revision : before.created, spec);
        entries.put(key, entry);
        history.add(new Change(revision, entry, false));
        notifyAll();
    }

    synchronized boolean contains(String kind, String name) {
        return entries.containsKey(kind + "/" + name);
    }

    synchronized void remove(String kind, String name) {
        Entry before = entries.remove(kind + "/" + name);
        if (before == null) return;
        revision++;
        history.add(new Change(revision, before, true));
        notifyAll();
    }

    /** From now on, counts the watches of servers that go on from the present revision or a later one. */
    synchronized void countWatchers() {
        watchers.clear();
        watchedFrom = revision;
    }

    /** Number of connections with a watch that has taken note of all changes until [countWatchers]. */
    int watchers() {
        return watchers.size();
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(entries), revision);
    }

    /** Continues from [copy]: later changes are lost, revisions are given out again, and the era rises by one. */
    void restore(Copy copy) {
        synchronized (this) {
            entries = new TreeMap<>(copy.entries);
            revision = copy.revision;
            history.clear();
            firstKept = copy.revision;
            era = era + 1;
            notifyAll();
        }
        closeSockets();
    }

    private void closeSockets() {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException ignored) {
                // The connection has ended already.
            }
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Threads.start("store connection", () -> {
                try (socket) {
                    serve(socket);
                } finally {
                    sockets.remove(socket);
                }
            });
        }
    }

    private void serve(Socket socket) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            Http.Head head = Http.head(in);
            if (head == null) return;
            String body = new String(Http.body(in, head), StandardCharsets.UTF_8);
            if (!awaitUp(socket)) return;
            if (mode == Mode.BUSY) {
                send(out, 503, "{}");
                continue;
            }
            String[] parts = head.target().split("\\?", 2);
            Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
            String[] path = parts[0].substring(1).split("/");
            if ("servers".equals(path[path.length - 1]) && query.containsKey("watch")
                    && Long.parseLong(query.get("watch")) >= watchedFrom) {
                watchers.add(socket);
            }
            if (path[0].equals("objects")) {
                String kind = decode(path[1]);
                String name = path.length > 2 ? decode(path[2]) : null;
                if (!object(out, head.method(), kind, name, query, body)) return;
            } else {
                dutyCalls.add(Threads.elapsedMs() + " " + head.target() + " holder=" + head.field("X-Duty-Holder")
                        + " token=" + head.field("X-Fencing-Token") + " " + body);
                send(out, 200, "{}");
            }
        }
    }

    /** Waits while the store is silent; false if the connection has ended meanwhile. */
    private synchronized boolean awaitUp(Socket socket) {
        while (mode == Mode.SILENT) {
            if (socket.isClosed()) return false;
            try {
                wait(200);
            } catch (InterruptedException exception) {
                return false;
            }
        }
        return true;
    }

    private boolean object(OutputStream out, String method, String kind, String name, Map<String, String> query,
            String body) throws IOException {
        if (method.equals("GET") && name == null && query.containsKey("watch")) {
            return watch(out, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
        }
        int status = 200;
        String answer;
        synchronized (this) {
            Entry entry = name == null ? null : entries.get(kind + "/" + name);
            if (method.equals("GET") && name == null) {
                answer = list(kind);
            } else if (method.equals("GET") || entry == null && !method.equals("POST")) {
                status = entry == null ? 404 : 200;
                answer = entry == null ? "{}" : json(entry);
            } else {
                String expected = query.get("revision");
                Object spec = null;
                if (!method.equals("DELETE")) {
                    Map<String, Object> object = Json.object(body);
                    Map<?, ?> metadata = (Map<?, ?>) object.get("metadata");
                    if (method.equals("POST")) {
                        name = (String) metadata.get("name");
                        entry = entries.get(kind + "/" + name);
                    }
                    spec = object.get("spec");
                    Object number = metadata.get("revision");
                    if (number != null) expected = ((Json.Num) number).text();
                }
                boolean conflict = method.equals("POST")
                        ? entry != null
                        : expected != null && Long.parseLong(expected) != entry.revision;
                if (conflict) {
                    status = 409;
                    answer = json(entry);
                } else if (method.equals("DELETE")) {
                    remove(kind, name);
                    answer = "{}";
                } else {
                    put(kind, name, spec);
                    answer = json(entries.get(kind + "/" + name));
                }
            }
        }
        send(out, status, answer);
        return true;
    }

    private String list(String kind) {
        List<Object> items = new ArrayList<>();
        for (Entry entry : entries.values()) if (entry.kind.equals(kind)) items.add(tree(entry));
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("has_more", false);
        page.put("store_revision", revision);
        return Json.print(page);
    }

    private boolean watch(OutputStream out, String kind, long after, long waitMs) throws IOException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        int status = 200;
        String answer = "{}";
        synchronized (this) {
            Long eraBefore = era;
            while (true) {
                if (mode != Mode.UP || (era != null && !era.equals(eraBefore))) return false;
                if (after < firstKept || after > revision) {
                    status = 410;
                    break;
                }
                List<Object> events = new ArrayList<>();
                for (Change change : history) {
                    if (change.revision <= after || !change.entry.kind.equals(kind)) continue;
                    Map<String, Object> event = new LinkedHashMap<>();
                    event.put("object", tree(change.entry));
                    event.put("removed", change.removed);
                    events.add(event);
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    Map<String, Object> changes = new LinkedHashMap<>();
                    changes.put("events", events);
                    changes.put("store_revision", revision);
                    answer = Json.print(changes);
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException exception) {
                    return false;
                }
            }
        }
        send(out, status, answer);
        return true;
    }

    private static Map<String, Object> tree(Entry entry) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", entry.name);
        metadata.put("revision", entry.revision);
        metadata.put("created_rev", entry.created);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", entry.spec);
        object.put("status", null);
        return object;
    }

    private static String json(Entry entry) {
        return Json.print(tree(entry));
    }

    private void send(OutputStream out, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Long number;
        synchronized (this) {
            number = era;
        }
        String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\n"
                + (number == null ? "" : "Store-Era: " + number + "\r\n") + "Content-Length: " + bytes.length
                + "\r\n\r\n";
        byte[] all = new byte[head.length() + bytes.length];
        System.arraycopy(Http.bytes(head), 0, all, 0, head.length());
        System.arraycopy(bytes, 0, all, head.length(), bytes.length);
        out.write(all);
        out.flush();
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new LinkedHashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) query.put(decode(parts[0]), decode(parts[1]));
        }
        return query;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
