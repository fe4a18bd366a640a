package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.ManagerHarness.FakeServer;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.MessageType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a video server at the address of one that has gone is not taken for that one. */
@Timeout(60)
class ReusedAddressTest {
    /** The former server, which holds the titles of cell 0; its name sorts behind that of the new one. */
    private static final String FORMER = "s-former";
    /** The new server at the same address, which holds the titles of cell 4. */
    private static final String NEWER = "s-a-newer";

    private static final String TITLE_OF_FORMER = "home:0;copies:1;top:2;viewer:00a1";
    private static final String TITLE_OF_NEWER = "home:4;copies:1;top:2;viewer:00a1";

    private static String formerEntry(ManagerHarness harness, String lifecycle) {
        return ManagerHarness.entry(FORMER, harness.servers.get(0).port(), lifecycle, 0);
    }

    private static String newerEntry(int port, long startedAtMs) {
        return ManagerHarness.entry(NEWER, port, "in_service", startedAtMs).replace("\"cell\":0", "\"cell\":4");
    }

    /** Starts a manager that knows two servers at one address from two events: first the former, then the newer one. */
    private static ManagerHarness harnessThatKnowsBoth() throws Exception {
        return new ManagerHarness(1, 256, config -> {
            int port = Integer.parseInt(config.replaceAll("(?s).*\"hostPort\":\"127.0.0.1:(\\d+)\".*", "$1"));
            return config.replace("\"s-0\"", "\"" + FORMER + "\"")
                    .replace("{\"offset\":1,\"batch\":[", "{\"offset\":2,\"batch\":[")
                    .replace("]}}]},", "]}}," + ManagerHarness.event(2, newerEntry(port, 0)) + "]},");
        });
    }

    /** Writes events to the bus, the last one twice, and waits until that has been noticed. */
    private static void tell(ManagerHarness harness, String... events) throws Exception {
        harness.bus.write(String.join("\n", events) + "\n" + events[events.length - 1] + "\n");
        harness.awaitCount("bus.twice", 1);
    }

    private static void assertRefusedUnsent(ManagerHarness harness, Peer viewer, long id) throws Exception {
        viewer.send(ManagerHarness.setUp(id, "talk", TITLE_OF_FORMER));
        assertEquals(Cause.CONGESTION, viewer.next(MessageType.REL).cause());
        assertEquals(0, harness.process.counts().getOrDefault("attempts", 0L));
    }

    /** Guards against the server told first being taken for the owner of an address after a restart. */
    @Test
    void ofServersKnownAtTheStartTheOneToldLastOwnsTheAddress() throws Exception {
        try (ManagerHarness harness = harnessThatKnowsBoth();
                Peer viewer = harness.acceptedViewer()) {
            assertRefusedUnsent(harness, viewer, 1);
            viewer.send(ManagerHarness.setUp(2, "talk", TITLE_OF_NEWER));
            assertEquals(2, harness.servers.get(0).acceptSetUp().message().sessionId());
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    /** Guards against late news of a server that has gone: they take the address away from the new one. */
    @Test
    void lateNewsOfTheFormerServerLeaveTheAddressWithTheNewOne() throws Exception {
        try (ManagerHarness harness =
                        new ManagerHarness(1, 256, config -> config.replace("\"s-0\"", "\"" + FORMER + "\""));
                Peer viewer = harness.acceptedViewer()) {
            FakeServer server = harness.servers.get(0);
            long startedAtMs = (long) harness.clock.millis() - 1;
            harness.bus.nextRequest();
            tell(
                    harness,
                    ManagerHarness.event(2, newerEntry(server.port(), startedAtMs)),
                    ManagerHarness.event(3, formerEntry(harness, "terminating")));
            viewer.send(ManagerHarness.setUp(1, "talk", TITLE_OF_NEWER));
            assertEquals(1, server.acceptSetUp().message().sessionId());
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    /** Guards against attempts at a server whose address has gone to another one: the controller did not know. */
    @Test
    void aServerWhoseAddressWentToAnotherGetsNoAttempts() throws Exception {
        try (ManagerHarness harness =
                        new ManagerHarness(1, 256, config -> config.replace("\"s-0\"", "\"" + FORMER + "\""));
                Peer viewer = harness.acceptedViewer()) {
            harness.bus.nextRequest();
            harness.bus.write(
                    ManagerHarness.event(2, newerEntry(harness.servers.get(0).port(), 0)) + "\n");
            harness.waitUntil(() -> harness.process.counts().get("servers") == 1);
            assertRefusedUnsent(harness, viewer, 1);
            assertTrue(harness.servers.get(0).received.isEmpty());
        }
    }
}
