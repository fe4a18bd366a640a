package standin;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Bad clients ask the same again as soon as they are turned away, beside usual clients. The rule is broken if the
 * session manager's process ends.
 */
final class GrowthCase extends World {
    private static final int SERVERS = 4;
    private static final int CELLS = 12;
    private static final int BAD_CLIENTS = 16;
    /** Set-ups that a bad client has open at once. */
    private static final int AT_ONCE = 100;
    /** Position of the id in a message. */
    private static final int ID_OFFSET = 3;
    private static final double LENGTH_MS = 111_000;
    private static final double USUAL_EVERY_MS = 200;

    private final List<String> entries = new ArrayList<>();
    private final Random badIds = new Random(7);
    private Front front;
    private volatile long badRefused;

    GrowthCase(String folder) throws Exception {
        super(folder);
    }

    @Override
    void begin() throws Exception {
        front = new Front(this, 1);
        for (int i = 0; i < SERVERS; i++) {
            VideoServer server = new VideoServer(this, "s-" + i, i, new VideoServer.Listener() {
                @Override
                public void over(VideoServer s, long session, String why) {
                    front.overAtServer(s, session);
                }
            });
            server.sessionMs = 6000;
            entries.add(server.entry("in_service", 0));
        }
        startManager(192, 1024, entries, Settings.json(1, CELLS));
        whenReady(() -> {
            usual();
            if (trouble) {
                badClients();
            }
            watch();
        });
    }

    private void usual() {
        loop.after(USUAL_EVERY_MS, this::usual);
        front.ask("talk-video", 0, SERVERS, 1, 4000);
    }

    /**
     * Runs the bad clients on a thread of their own. Each asks AT_ONCE times, with 50 ms
     * left, and again with new ids once all are turned away.
     */
    private void badClients() {
        record(BAD_CLIENTS + " bad clients connect and send " + AT_ONCE + " set-ups each, again once all are turned away");
        try {
            Loop ownLoop = new Loop();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                badClient(ownLoop.connect(listen));
            }
            Thread thread = new Thread(() -> {
                try {
                    ownLoop.run();
                } catch (java.io.IOException e) {
                    e.printStackTrace();
                }
            });
            thread.setDaemon(true);
            thread.start();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void badClient(Loop.Conn conn) {
        byte[] one = front.setUp(0, "talk-video", 0, SERVERS, 1, 50).encode();
        int[] open = new int[1];
        Runnable askAgain = () -> {
            ByteBuffer batch = ByteBuffer.allocate(AT_ONCE * one.length);
            for (int i = 0; i < AT_ONCE; i++) {
                int at = batch.position();
                batch.put(one).putLong(at + ID_OFFSET, badIds.nextLong());
            }
            open[0] = AT_ONCE;
            conn.send(batch.array());
        };
        conn.onMessage = message -> {
            if (message.type == Wire.RELEASE) {
                badRefused++;
                if (--open[0] == 0) {
                    askAgain.run();
                }
            }
        };
        askAgain.run();
    }

    private void watch() {
        String memory = "gone";
        try {
            memory = Files.readAllLines(Path.of("/proc/" + manager.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .findFirst()
                    .orElse("gone")
                    .replaceAll("\\s+", " ");
        } catch (java.io.IOException e) {
            // the process has ended
        }
        record("usual clients: " + front.counts() + "; bad clients: turned away " + badRefused + "; session manager: "
                + memory);
        if (!manager.isAlive()) {
            logTail(3).forEach(line -> record("log: " + line));
            end(BROKEN, "the session manager ended with status " + manager.exitValue() + " after " + badRefused
                    + " refusals to bad clients; usual clients: " + front.counts());
        } else if (nowMs() > LENGTH_MS) {
            end(HELD, "the session manager runs after " + badRefused + " refusals to bad clients, " + memory);
        } else {
            loop.after(1000, this::watch);
        }
    }

    public static void main(String[] arguments) throws Exception {
        run(new GrowthCase(arguments[0]));
    }
}
