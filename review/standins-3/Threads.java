/** Starts threads of the stand-ins, and measures time from the start of a case. */
final class Threads {
    /** A task that may fail, for example because its connection ends. */
    interface Task {
        void run() throws Exception;
    }

    private static final long START = System.nanoTime();

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception exception) {
                // The connection has ended, or the case is over.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static long elapsedMs() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
