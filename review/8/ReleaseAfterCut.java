import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One of five video servers is cut off for 3 s. Two sessions stand there, each set up on a connection of its own. While
 * the server is cut off, one of them comes to its end, and a set-up on its connection gets no answer.
 */
final class ReleaseAfterCut extends Case {
    private static final String TITLE = "7f3a9c21e0b4d655";
    private static final int SERVERS = 5;
    private static final long SET_UP_MS = 150;
    private static final long CUT_MS = 3000;
    /** From the end of a session until it has to be released towards its client, with the slack of the sockets. */
    private static final long BOUND_MS = 8050;
    /** How long the case watches after the end, to tell a late release from a missing one. */
    private static final long WATCHED_MS = 25_000;

    private Front front;
    private int viewers;

    public static void main(String[] args) throws Exception {
        Case.main(args, new ReleaseAfterCut());
    }

    /** Takes its time for a set-up. */
    private static final class Server extends VideoServer {
        Server(Record record, int number) throws Exception {
            super(record, "s-" + number, 0);
        }

        @Override
        void onSetUp(Link link, Wire setUp) {
            Threads.start(() -> {
                Thread.sleep(SET_UP_MS);
                synchronized (this) {
                    answer(link, setUp.id);
                }
            });
        }
    }

    private long setUp() throws Exception {
        long id = 0xa00 + ++viewers;
        front.setUp(id, "talk-audio", TITLE, "home:0;copies:12;top:0;viewer:" + Wire.hex(viewers), 4000);
        return id;
    }

    @Override
    String play() throws Exception {
        Bus bus = new Bus(record);
        List<Server> servers = new ArrayList<>();
        List<Cable> cables = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(record, i + 1));
            cables.add(new Cable(record, servers.get(i).port()));
            entries.add(Bus.entry("s-" + (i + 1), cables.get(i).port(), i, "in_service", 0));
        }
        bus.add(entries.toArray(String[]::new));
        Manager manager = manager("n1");
        manager.writeConfig(bus, 192, 256, Settings.ALDER_CREEK);
        require(manager.start(), "the session manager didn't start");
        Thread.sleep(5000);
        front = new Front(record, "front", manager.port);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 2 * SERVERS; i++) {
            ids.add(setUp());
        }
        for (long id : ids) {
            Wire answer = front.awaitFinal(id, 4000);
            require(answer != null && answer.type == Wire.ANSWER, "session " + Wire.hex(id) + " was not set up");
        }
        Thread.sleep(2500);
        int chosen = -1;
        for (int i = 0; i < SERVERS; i++) {
            chosen = servers.get(i).linksOfStanding() == 2 && servers.get(i).sessions() == 2 ? i : chosen;
        }
        require(chosen >= 0, "at no server do two sessions stand on a connection each");
        long ends = servers.get(chosen).firstStanding();
        double cutAt = record.seconds();
        if (trouble) {
            record.line("network: s-" + (chosen + 1) + " is to be cut off");
            cables.get(chosen).cut(true);
        }
        // as many viewers as servers, one after the other: each server gets one of them
        for (int i = 0; i < SERVERS; i++) {
            front.awaitFinal(setUp(), 4500);
        }
        Thread.sleep(Math.max(0, (long) ((cutAt + 2 - record.seconds()) * 1000)));
        double endedAt = record.seconds();
        servers.get(chosen).end(ends);
        Thread.sleep(Math.max(0, (long) ((cutAt - record.seconds()) * 1000 + CUT_MS)));
        require(record.seconds() - cutAt < 6, "the cut took too long");
        if (trouble) {
            cables.get(chosen).cut(false);
            require(cables.get(chosen).openedWhileCut() == 0, "a connection came up while the server was cut off");
        }
        // the viewers that come afterwards, about 1 in 1.5 s
        while (front.firstAt(ends, Wire.RELEASE) < 0 && (record.seconds() - endedAt) * 1000 < WATCHED_MS) {
            setUp();
            Thread.sleep(1500);
        }
        double releasedAt = front.firstAt(ends, Wire.RELEASE);
        if (releasedAt >= 0 && (releasedAt - endedAt) * 1000 <= BOUND_MS) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                "session %s came to its end at %.3f s and was %s",
                Wire.hex(ends),
                endedAt,
                releasedAt < 0
                        ? "not released towards its client within " + WATCHED_MS / 1000 + " s"
                        : String.format(Locale.ROOT, "released towards its client at %.3f s only", releasedAt));
    }
}
