import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: a line for each event, with the milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format("%7d ", now()) + String.format(format, values));
    }

    /** Writes a line that is also printed. */
    void result(String format, Object... values) {
        String text = String.format(format, values);
        System.out.println(text);
        line("%s", text);
    }
}
