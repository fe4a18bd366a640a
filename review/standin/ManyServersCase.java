package standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The same traffic on twelve video servers and on sixteen times as many. The rule is broken if a session that has ended
 * at its server is not released towards its client within 8 s.
 */
final class ManyServersCase extends World implements VideoServer.Listener {
    private static final int USUAL_SERVERS = 12;
    private static final int TIMES = 16;
    private static final int SOCKETS = 256;
    private static final int COPIES = 4;
    private static final double ASK_EVERY_MS = 160;
    private static final double ASK_UNTIL_MS = 50_000;
    private static final double LENGTH_MS = 75_000;

    private final List<VideoServer> servers = new ArrayList<>();
    private final Random random = new Random(11);
    private Front front;

    ManyServersCase(String folder) throws Exception {
        super(folder);
    }

    @Override
    void begin() throws Exception {
        front = new Front(this, 2);
        int count = trouble ? USUAL_SERVERS * TIMES : USUAL_SERVERS;
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            VideoServer server = new VideoServer(this, String.format("s-%04x", i), i, this);
            server.sessionMs = 35_000;
            servers.add(server);
            entries.add(server.entry("in_service", 0));
        }
        startManager(192, SOCKETS, entries, Settings.json(trouble ? TIMES : 1, count));
        whenReady(() -> {
            ask();
            watch();
        });
    }

    private void ask() {
        if (nowMs() < ASK_UNTIL_MS) {
            loop.after(ASK_EVERY_MS, this::ask);
            front.ask("talk-video", random.nextInt(servers.size()), COPIES, 1, 4000);
        }
    }

    @Override
    public void over(VideoServer server, long session, String why) {
        front.overAtServer(server, session);
    }

    private void watch() {
        long used = servers.stream().filter(server -> !server.sessions().isEmpty()).count();
        record(front.counts() + "; servers with sessions " + used + ", connections made to servers " + loop.accepted);
        if (!manager.isAlive()) {
            logTail(3).forEach(line -> record("log: " + line));
            end(BROKEN, "the session manager ended with status " + manager.exitValue());
        } else if (nowMs() > LENGTH_MS && front.settled() || nowMs() > LENGTH_MS + 20_000) {
            logTail(1).forEach(line -> record("log: " + line));
            end(
                    front.left.isEmpty() ? HELD : BROKEN,
                    front.counts() + "; connections made to servers " + loop.accepted);
        } else {
            loop.after(1000, this::watch);
        }
    }

    public static void main(String[] arguments) throws Exception {
        run(new ManyServersCase(arguments[0]));
    }
}
