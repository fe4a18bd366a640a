package standin;

import java.util.ArrayList;
import java.util.List;

/**
 * The connection of the viewers' front is reset once, under a request, while sessions stand and all video servers are
 * full. The rule is broken if a session that has ended at its server is not released towards its client within 8 s.
 */
final class ReleasesCase extends World implements VideoServer.Listener {
    private static final int SERVERS = 4;
    private static final int COPIES = 3;
    /** Set-ups before all links are asked for in full. */
    private static final int BEFORE_FULL = 40;
    /** Number of the set-up under which the connection is reset. */
    private static final int RESET_UNDER = 55;

    private static final double ASK_EVERY_MS = 150;
    private static final double ASK_WHEN_FULL_EVERY_MS = 400;
    private static final double LENGTH_MS = 60_000;

    private final List<VideoServer> servers = new ArrayList<>();
    private Front front;
    private boolean resetDue;

    ReleasesCase(String folder) throws Exception {
        super(folder);
    }

    @Override
    void begin() throws Exception {
        front = new Front(this, 3);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            VideoServer server = new VideoServer(this, "s-" + i, i, this);
            server.sessionMs = 25_000;
            servers.add(server);
            entries.add(server.entry("in_service", 0));
        }
        startManager(192, 1024, entries, Settings.json(3, SERVERS));
        whenReady(() -> {
            ask(1);
            watch();
        });
    }

    private void ask(int number) {
        if (number == BEFORE_FULL + 1) {
            record("all links are asked for in full, by sessions of the other session managers too");
            servers.forEach(server -> server.full = true);
        }
        resetDue |= trouble && number == RESET_UNDER;
        loop.after(number < BEFORE_FULL ? ASK_EVERY_MS : ASK_WHEN_FULL_EVERY_MS, () -> ask(number + 1));
        front.ask("talk-audio", number % SERVERS, COPIES, 1, 4000);
    }

    @Override
    public void setUp(VideoServer server, Wire.Message message) {
        record(server.name + ": " + message);
        if (resetDue) {
            resetDue = false;
            record("the connection of the viewers' front is reset");
            front.resetConnection();
        }
    }

    @Override
    public void over(VideoServer server, long session, String why) {
        front.overAtServer(server, session);
    }

    private void watch() {
        if (!manager.isAlive()) {
            logTail(3).forEach(line -> record("log: " + line));
            end(BROKEN, "the session manager ended with status " + manager.exitValue());
        } else if (nowMs() > LENGTH_MS) {
            logTail(1).forEach(line -> record("log: " + line));
            end(front.left.isEmpty() ? HELD : BROKEN, front.counts());
        } else {
            loop.after(200, this::watch);
        }
    }

    public static void main(String[] arguments) throws Exception {
        run(new ReleasesCase(arguments[0]));
    }
}
