package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.ManagerHarness.FakeServer;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a manager with sessions at more servers than it may have links to, on a clock that the test advances. */
@Timeout(60)
class LinkLimitTest {
    private static final int SERVERS = 20;
    /** Descriptors in the configuration, which leave eight links to servers. */
    private static final int DESCRIPTORS = 64;
    /** Time, in ms, within which a session that is over must be released towards its viewer. */
    private static final int RELEASE_BOUND_MS = 8000;
    /** Time, in ms, between two connections to one server that no attempt needs. */
    private static final int RECONNECT_INTERVAL_MS = 3000;
    /** Least time, in ms, between two connections to a server whose last one brought nothing. */
    private static final int MIN_RECONNECT_DELAY_MS = 120;
    /** Step of the clock, in ms. */
    private static final int STEP_MS = 100;

    private static ManagerHarness newHarness() throws Exception {
        ManagerHarness harness =
                new ManagerHarness(SERVERS, DESCRIPTORS, config -> config.replace("\"tellMs\":600", "\"tellMs\":3250"));
        harness.clock.stop();
        return harness;
    }

    /** Advances the clock by one step and waits until servers and manager agree on which links are open. */
    private static void step(ManagerHarness harness) throws InterruptedException {
        harness.clock.advance(STEP_MS);
        for (int turn = 0; turn < 2; turn++) {
            harness.process.loop().call(() -> null);
        }
        harness.waitUntil(() -> harness.servers.stream()
                        .mapToInt(server -> server.openPeers().size())
                        .sum()
                == harness.process.counts().get("links.servers"));
    }

    private static int connectionsMade(ManagerHarness harness) {
        return harness.servers.stream().mapToInt(server -> server.peers.size()).sum();
    }

    private static void handOverOneSessionAtEachServer(ManagerHarness harness, Peer viewer) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            viewer.send(ManagerHarness.setUp(i + 1, "talk", "home:0;copies:12;top:2;viewer:00a1;at:s-" + i));
        }
        harness.awaitCount("handed-over", SERVERS);
        for (int ms = 0; ms < RELEASE_BOUND_MS; ms += STEP_MS) {
            step(harness);
        }
    }

    /** Guards against lost releases: links pushed each other out without end, and releases sent on them were lost. */
    @Test
    void releasesOfMoreServersThanLinksArriveInTimeOnFewConnections() throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            handOverOneSessionAtEachServer(harness, viewer);
            for (FakeServer server : harness.servers) {
                assertTrue(!server.peers.isEmpty(), "a server with a session was not connected to");
            }
            for (int i = 0; i < SERVERS; i++) {
                harness.servers.get(i).endSession(i + 1);
            }
            for (int ms = 0; ms < RELEASE_BOUND_MS; ms += STEP_MS) {
                step(harness);
            }
            Set<Long> released = new HashSet<>();
            while (released.size() < SERVERS) {
                released.add(viewer.next(MessageType.REL).sessionId());
            }
            int mostConnections = SERVERS * (1 + 2 * RELEASE_BOUND_MS / RECONNECT_INTERVAL_MS);
            assertTrue(connectionsMade(harness) <= mostConnections, connectionsMade(harness) + " connections");
        }
    }

    /** Guards against a dropped release: with no idle link to close, a message to a server was lost. */
    @Test
    void aReleaseWaitsWhileNoLinkToItsServerCanBeOpened() throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            handOverOneSessionAtEachServer(harness, viewer);
            // links were opened in this step, so none may be closed before the clock goes on
            harness.clock.advance(STEP_MS);
            harness.inOneLoopTurn(() -> {
                for (int i = 0; i < SERVERS; i++) {
                    viewer.send(Message.release(i + 1, Cause.NORMAL));
                }
            });
            harness.awaitCount("left", SERVERS);
            for (int ms = 0; ms < RELEASE_BOUND_MS; ms += STEP_MS) {
                step(harness);
            }
            for (int i = 0; i < SERVERS; i++) {
                assertEquals(i + 1, harness.servers.get(i).next().message().sessionId());
            }
        }
    }

    /** Guards against connecting without a pause to a server that accepts connections and closes them. */
    @Test
    void aServerThatClosesEachConnectionIsConnectedToAfterADelay() throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            FakeServer server = harness.servers.get(0);
            viewer.send(ManagerHarness.setUp(1, "talk", "home:0;copies:12;top:2;viewer:00a1;at:s-0"));
            harness.awaitCount("handed-over", 1);
            server.awaitConnection();
            server.closesNewConnections = true;
            server.peers.get(0).disconnect();
            for (int ms = 0; ms < RELEASE_BOUND_MS; ms += STEP_MS) {
                step(harness);
            }
            int mostConnections = 2 + RELEASE_BOUND_MS / MIN_RECONNECT_DELAY_MS;
            assertTrue(server.peers.size() <= mostConnections, server.peers.size() + " connections");
            assertTrue(server.peers.size() > 2, "it is tried again");
        }
    }
}
