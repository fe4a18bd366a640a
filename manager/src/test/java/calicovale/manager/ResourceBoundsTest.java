package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.ManagerHarness.FakeServer;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that tables, timers and links do not grow with the number of ids, addresses and connections used. */
@Timeout(60)
class ResourceBoundsTest {
    /** Number of rounds, which take one hour in all. */
    private static final int ROUNDS = 120;
    /** Number of test messages that a client sends in one piece. */
    private static final int TESTS_AT_ONCE = 10_000;
    /** Time, in ms, by which the clock is advanced in each round. */
    private static final double ROUND_MS = 30_000;

    @Test
    void tablesTimersAndLinksStayBoundedAfterAnHourOfNewIdsAndAddresses() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1)) {
            String previousEntry =
                    ManagerHarness.entry("s-0", harness.servers.get(0).port(), "terminated", 0);
            for (int i = 1; i <= ROUNDS; i++) {
                harness.bus.nextRequest();
                try (FakeServer server = new FakeServer();
                        Peer viewer = harness.acceptedViewer()) {
                    String newEntry = ManagerHarness.entry("s-new-" + i, server.port(), "in_service", 0);
                    harness.bus.write(ManagerHarness.event(i + 1, previousEntry, newEntry) + "\n");
                    harness.waitUntil(() -> harness.process.counts().get("servers") == 1);
                    viewer.send(ManagerHarness.setUp(i));
                    FakeServer.Received setUp = server.acceptSetUp();
                    assertEquals(i, viewer.next(MessageType.ANM).sessionId());
                    // in each round one session has an unlisted server, two releases are of unknown sessions, one
                    // timeout is cancelled and one session ends normally
                    viewer.send(ManagerHarness.setUp(
                            1_000_000 + i, "talk", "home:0;copies:12;top:2;viewer:00a1;at:s-nowhere-" + i));
                    viewer.send(Message.release(2_000_000 + i, Cause.NORMAL));
                    setUp.peer().send(Message.release(3_000_000 + i, Cause.NORMAL), Message.release(i, Cause.NORMAL));
                    // releases of earlier rounds, which waited for a connection, come as well
                    Message release;
                    do {
                        release = viewer.next(MessageType.REL);
                    } while (release.sessionId() != i);
                    previousEntry = ManagerHarness.entry("s-new-" + i, server.port(), "terminated", 0);
                }
                // the bus is silent during this time, so the client connects again
                harness.clock.advance(ROUND_MS);
            }
            harness.bus.nextRequest();
            harness.bus.write(ManagerHarness.event(ROUNDS + 2, previousEntry) + "\n");
            harness.waitUntil(() -> {
                Map<String, Long> counts = harness.process.counts();
                return counts.get("servers") == 0
                        && counts.get("held.standing") == 0
                        && counts.get("links.servers") == 0
                        && counts.get("links.viewers") == 0;
            });
            Map<String, Long> counts = harness.process.counts();
            assertEquals(0, counts.get("held.out"));
            assertTrue(counts.get("controller.servers") <= 4, counts.toString());
            assertEquals(ROUNDS, counts.get("handed-over.unlisted"));
            int timers =
                    harness.process.loop().call(() -> harness.process.loop().queuedTimers());
            assertTrue(timers < 100, timers + " timers");
            int connections =
                    harness.process.loop().call(() -> harness.process.loop().connectionCount());
            assertTrue(connections <= 1, connections + " connections");
        }
    }

    /** Guards against a client that reads nothing: it is not read from, and closed after a while. */
    @Test
    void aClientThatDoesNotReadItsAnswersIsPausedAndClosed() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer client = harness.acceptedViewer()) {
            byte[] test = Message.of(MessageType.UPT, 1).encode().array();
            ByteBuffer manyTests = ByteBuffer.allocate(TESTS_AT_ONCE * test.length);
            while (manyTests.hasRemaining()) {
                manyTests.put(test);
            }
            Thread sender = new Thread(() -> sendUntilClosed(client, manyTests.array()));
            sender.start();
            harness.waitUntil(() -> harness.process.counts().get("bytes.unwritten") > 0);
            harness.clock.advance(6000);
            harness.awaitCount("viewer.not-reading", 1);
            sender.join();
            harness.waitUntil(() -> harness.process.counts().get("bytes.unwritten") == 0);
        }
    }

    private static void sendUntilClosed(Peer client, byte[] bytes) {
        try {
            while (true) {
                client.sendBytes(bytes);
            }
        } catch (IOException e) {
            // the manager has closed the connection
            return;
        }
    }

    /** Guards against a connection being closed for half a message while one message after the other completes. */
    @Test
    void aConnectionWhoseMessagesCompleteOneAfterTheOtherIsNotClosed() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer client = harness.acceptedViewer()) {
            byte[] test = Message.of(MessageType.UPT, 1).encode().array();
            byte[] firstHalf = Arrays.copyOf(test, test.length / 2);
            byte[] otherHalf = Arrays.copyOfRange(test, test.length / 2, test.length);
            client.sendBytes(firstHalf);
            for (int i = 0; i < 4; i++) {
                harness.clock.advance(1000);
                harness.inOneLoopTurn(() -> {
                    client.sendBytes(otherHalf);
                    client.sendBytes(firstHalf);
                });
                assertEquals(MessageType.UPA, client.next().type());
            }
            client.sendBytes(otherHalf);
            assertEquals(MessageType.UPA, client.next().type());
            assertEquals(0, harness.process.counts().getOrDefault("viewer.half", 0L));
        }
    }
}
