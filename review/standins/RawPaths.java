import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Consumers put a name with letters beyond ASCII into the path and the query, as bytes in UTF-8; with TROUBLE=0 they
 * write the same names with percent signs. Counts requests that a server ran with another path or query.
 */
final class RawPaths {
    private static final List<String> NAMES = List.of("sušara-1", "čistač-2", "linija-ž", "vreća-3", "sort-4");

    private RawPaths() {}

    static boolean run(Record record, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("config", "main", Site.configuration(7));
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (int index = 0; index < 3; index++) {
            Backend server = new Backend("i-line-" + index, 6, record, (call, socket, out) -> {
                ran.put(call.id(), call.target);
                Thread.sleep(15);
                Wire.write(out, Backend.answer(call, "done " + call.id()));
            });
            store.put("servers", server.id, Site.entry(Site.PLAIN, server, 6, "ready", 1));
        }
        Fleet fleet = new Fleet(2, store, record);
        fleet.startAll();
        Thread.sleep(1_000);
        int changed = 0;
        int sent = 0;
        List<Consumer> consumers = new ArrayList<>();
        for (int index = 0; index < 4; index++) consumers.add(new Consumer(fleet.frontend(index % 2), Site.KEY, record));
        for (int round = 0; round < 50; round++) {
            String name = NAMES.get(round % NAMES.size());
            String written = trouble ? new String(name.getBytes("UTF-8"), "ISO-8859-1") : java.net.URLEncoder.encode(name, "UTF-8");
            String target = "/gate/" + written + "?belt=" + written;
            Consumer.Answer answer = consumers.get(round % 4).send("POST", target, "", new byte[600], 600);
            sent++;
            String arrived = ran.get(answer.id);
            if (arrived == null || arrived.equals(target)) continue;
            changed++;
            record.line("UNASKED %s sent as %s, run as %s, status %d", answer.id, hex(target), hex(arrived), answer.status);
        }
        fleet.close();
        record.result("requests=%d ran=%d ran with another path or query=%d", sent, ran.size(), changed);
        return changed > 0;
    }

    private static String hex(String text) {
        StringBuilder out = new StringBuilder();
        for (char character : text.toCharArray()) out.append(character > ' ' && character < 127 ? String.valueOf(character) : String.format("\\x%02x", (int) character));
        return out.toString();
    }
}
