/** Daemon threads whose failures are ignored, since a closed socket ends most of them. */
final class Threads {
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    static void start(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // a closed socket
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
