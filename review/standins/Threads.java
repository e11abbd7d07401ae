/** Starts daemon threads. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
