import java.util.ArrayList;
import java.util.List;

/** Bad clients send hundreds of requests at once, each request of the size that a message may have. */
final class Flood extends Case {
    private static final int DESCRIPTORS = 1024;
    /** Under a third of the descriptors. */
    private static final int CLIENTS = 150;

    private static final int REQUESTS = 300;
    /** With the other parameters a request stays below 16 KiB. */
    private static final int DESCRIPTION_BYTES = 16_000;

    private static final String EXTRAS = "home:0;copies:12;top:2;viewer:00000000b4d65521";

    public static void main(String[] args) throws Exception {
        Case.main(args, new Flood());
    }

    /** Answers 'error' to what it can't use. */
    private static final class Server extends VideoServer {
        Server(Record record, String name) throws Exception {
            super(record, name, 0);
        }

        @Override
        void onSetUp(Link link, Wire setUp) {
            if (setUp.text(Wire.DESCRIPTION).startsWith("viewer of ")) {
                answer(link, setUp.id);
            } else {
                link.send(Wire.release(setUp.id, 47));
            }
        }
    }

    @Override
    String play() throws Exception {
        Bus bus = new Bus(record);
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            entries.add(Bus.entry("s-" + i, new Server(record, "s-" + i).port(), i, "in_service", 0));
        }
        bus.add(entries.toArray(String[]::new));
        Manager manager = manager("n1");
        manager.writeConfig(bus, 192, DESCRIPTORS, Settings.ALDER_CREEK);
        require(manager.start(), "the session manager didn't start");
        Thread.sleep(5000);
        Front front = new Front(record, "front", manager.port);
        front.setUp(0xa1, "talk-audio", "7f3a9c21e0b4d655", EXTRAS, 4000);
        Wire answer = front.awaitFinal(0xa1, 4000);
        require(answer != null && answer.type == Wire.ANSWER, "the session was not set up");
        if (trouble) {
            record.line(CLIENTS + " bad clients connect and send " + REQUESTS + " requests each at once");
            List<BadClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new BadClient(record, manager.port, i, REQUESTS, DESCRIPTION_BYTES));
            }
            for (BadClient client : clients) {
                Threads.start(client::send);
            }
        }
        int status = manager.awaitEnd(20_000);
        if (!manager.isAlive()) {
            return "the session manager has crashed with status " + status + ", session " + Wire.hex(0xa1) + " was cut";
        }
        front.setUp(0xa2, "talk-audio", "7f3a9c21e0b4d655", EXTRAS, 4000);
        return front.awaitFinal(0xa2, 6000) == null ? "the session manager lives and doesn't answer" : "";
    }
}
