import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to `record.txt`, with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long started = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - started) / 1e9;
    }

    synchronized void add(String line) {
        out.println(String.format("%8.3f  %s", seconds(), line));
    }

    /** Adds [line] to the record and to the output of the script. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }
}
