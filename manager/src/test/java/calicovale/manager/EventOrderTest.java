package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.ManagerHarness.FakeServer;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.manager.config.ManagerConfig;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Rare orders through real sockets, each forced: the loop is held while the peers act, so that all they did is ready in one turn,
 * and is read with the servers' side first.
 */
@Timeout(60)
class EventOrderTest {

    /** The ways in which a viewer goes. */
    enum Departure {
        CLOSE,
        RESET,
        HALF_CLOSE,
        CANCEL,
        CANCEL_AND_NEXT;

        void run(Peer viewer, long id) throws IOException {
            switch (this) {
                case CLOSE -> viewer.disconnect();
                case RESET -> viewer.reset();
                case HALF_CLOSE -> viewer.halfClose();
                case CANCEL -> viewer.send(Message.release(id, Cause.NORMAL));
                default -> viewer.send(Message.release(id, Cause.NORMAL), Message.of(MessageType.UPT, 99));
            }
        }
    }

    private static long count(ManagerHarness rig, String name) {
        return rig.process.counts().getOrDefault(name, 0L);
    }

    private static void awaitNoSessions(ManagerHarness rig) throws InterruptedException {
        rig.waitUntil(() -> {
            Map<String, Long> counts = rig.process.counts();
            return counts.get("held.out") == 0 && counts.get("held.standing") == 0;
        });
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void aServersErrorIsHandledAfterTheViewersDepartureInTheSameTurn(Departure going) throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.serverWithMessage().next();
            rig.inOneLoopTurn(() -> {
                set.peer().send(Message.release(1, Cause.UNAVAILABLE));
                going.run(viewer, 1);
            });
            rig.awaitCount("departed", 1);
            awaitNoSessions(rig);
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @Test
    void ofTwoFailedAttemptsOnlyThatOfTheRemainingViewerIsRetried() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer stays = rig.acceptedViewer();
                Peer goes = rig.acceptedViewer()) {
            rig.clock.stop();
            stays.send(ManagerHarness.setUp(1));
            FakeServer first = rig.serverWithMessage();
            FakeServer.Received one = first.next();
            rig.clock.advance(10);
            goes.send(ManagerHarness.setUp(2));
            rig.awaitCount("attempts", 2);
            FakeServer.Received two = rig.serverWithMessage().next();
            rig.clock.advance(10);
            rig.inOneLoopTurn(() -> {
                two.peer().send(Message.release(2, Cause.UNAVAILABLE));
                one.peer().send(Message.release(1, Cause.UNAVAILABLE));
                goes.disconnect();
            });
            rig.awaitCount("departed", 1);
            FakeServer.Received again;
            do {
                again = rig.serverWithMessage().next();
            } while (again.message().type() != MessageType.IAM);
            assertEquals(1, again.message().session());
            again.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, stays.next().type());
            assertEquals(3, count(rig, "attempts"));
        }
    }

    @Test
    void aCancelTakesEffectOnceItsLastByteHasCome() throws Exception {
        byte[] cancel = Message.release(1, Cause.NORMAL).encode().array();
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.serverWithMessage().next();
            viewer.sendBytes(java.util.Arrays.copyOf(cancel, cancel.length - 1));
            rig.inOneLoopTurn(() -> {
                set.peer().send(Message.release(1, Cause.UNAVAILABLE));
                viewer.sendBytes(cancel[cancel.length - 1]);
            });
            rig.awaitCount("departed", 1);
            awaitNoSessions(rig);
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void aSetUpFollowedByItsViewersDepartureIsNotForwarded(Departure going) throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            rig.inOneLoopTurn(() -> {
                viewer.send(ManagerHarness.setUp(1));
                going.run(viewer, 1);
            });
            rig.awaitCount("departed", 1);
            awaitNoSessions(rig);
            assertEquals(0, count(rig, "attempts"));
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void aLinkThatOpensSendsNothingForAViewerThatHasLeft(Departure going) throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            // the link is being opened then; the loop hears that it stands together with the viewer's going
            rig.afterDecisions(() -> viewer.send(ManagerHarness.setUp(1)), 0, () -> {
                rig.servers.get(0).awaitConnection();
                going.run(viewer, 1);
            });
            rig.awaitCount("departed", 1);
            awaitNoSessions(rig);
            assertEquals(1, count(rig, "outcome.CANCELLED"));
            try (Peer next = rig.acceptedViewer()) {
                rig.clock.advance(10);
                next.send(ManagerHarness.setUp(2));
                assertEquals(2, rig.servers.get(0).next().message().session(), "the first set-up was never written");
            }
        }
    }

    @Test
    void anAnswerThatHasArrivedTakesPrecedenceOverItsTimeout() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.serverWithMessage().next();
            rig.inOneLoopTurn(() -> {
                set.peer()
                        .send(Message.of(MessageType.ANM, 1)
                                .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
                rig.clock.advance(400);
            });
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @Test
    void aTimeoutIsHandledAfterTheViewersDepartureInTheSameTurn() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            rig.serverWithMessage().next();
            rig.inOneLoopTurn(() -> {
                rig.clock.advance(400);
                viewer.disconnect();
            });
            rig.awaitCount("departed", 1);
            awaitNoSessions(rig);
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @Test
    void anAttemptWhoseLinkIsLostWhileItTimesOutEndsOnce() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(3);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.serverWithMessage().next();
            // its time is up behind this hold, and its link is reset before the release is written
            rig.afterDecisions(() -> {}, 300, () -> set.peer().reset());
            FakeServer next = rig.serverWithMessage();
            FakeServer.Received again = next.next();
            assertEquals(MessageType.IAM, again.message().type());
            again.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(rig, "outcome.TIMEOUT") + count(rig, "outcome.RESET"));
            assertEquals(2, count(rig, "attempts"));
        }
    }

    @Test
    void anAnswerFollowedByACloseIsHandled() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.serverWithMessage().next();
            rig.inOneLoopTurn(() -> {
                set.peer()
                        .send(Message.of(MessageType.ANM, 1)
                                .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
                set.peer().disconnect();
            });
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(rig, "held.standing"));
        }
    }

    @Test
    void aSetUpOnAnIdleLinkThatItsServerResetsEndsOnce() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            rig.clock.advance(10);
            rig.afterDecisions(
                    () -> viewer.send(ManagerHarness.setUp(2)),
                    0,
                    () -> set.peer().reset());
            assertEquals(Cause.CONGESTION, viewer.next().cause());
            assertEquals(1, count(rig, "outcome.RESET"));
            awaitNoSessions(rig);
        }
    }

    @Test
    void aReleaseWhoseLinkNeverOpensIsSentOnTheNext() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer box = rig.servers.get(0);
            FakeServer.Received set = box.acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            int port = box.port();
            rig.inOneLoopTurn(() -> {
                box.stopListening();
                set.peer().disconnect();
                viewer.send(Message.release(1, Cause.NORMAL));
            });
            rig.awaitCount("server.release-again", 1);
            try (FakeServer again = new FakeServer(port)) {
                rig.clock.advance(200);
                FakeServer.Received release = again.next();
                assertEquals(MessageType.REL, release.message().type());
                assertEquals(1, release.message().session());
            }
        }
    }

    // --- Hand-overs ---

    private static Message handOver(long id, String server) {
        return ManagerHarness.setUp(id, "talk", "home:0;copies:12;top:2;viewer:00a1;at:" + server);
    }

    @Test
    void aHandOverAtAnUnlistedServerWaitsForTheList() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                FakeServer late = new FakeServer();
                Peer viewer = rig.acceptedViewer()) {
            rig.bus.nextRequest();
            viewer.send(handOver(1, "s-late"));
            rig.awaitCount("handed-over.unlisted", 1);
            rig.bus.write(ManagerHarness.event(2, ManagerHarness.entry("s-late", late.port(), "in_service", 0)) + "\n");
            rig.waitUntil(() -> !late.peers.isEmpty());
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, late.next().message().cause(), "its end goes to its server");
            awaitNoSessions(rig);
        }
    }

    @Test
    void aHandOverAtAServerThatIsNeverListedIsReleased() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            viewer.send(handOver(1, "s-nowhere"));
            rig.awaitCount("handed-over.unlisted", 1);
            rig.clock.advance(6600);
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
            rig.waitUntil(() -> rig.process.counts().get("servers") == 1);
        }
    }

    @Test
    void aServersReleaseThatCameBeforeTheHandOverIsPassedOn() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            viewer.send(ManagerHarness.setUp(5));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            rig.awaitCount("server.release-of-none", 1);
            viewer.send(handOver(1, "s-0"));
            Message over = viewer.next();
            assertEquals(1, over.session());
            assertEquals(MessageType.REL, over.type());
            assertEquals(1, count(rig, "held.standing"));
        }
    }

    @Test
    void aViewersReleaseThatCameBeforeTheHandOverReachesTheServer() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            viewer.send(Message.release(1, Cause.NORMAL), handOver(1, "s-0"), handOver(1, "s-0"));
            FakeServer.Received release = rig.servers.get(0).next();
            assertEquals(MessageType.REL, release.message().type());
            assertEquals(1, release.message().session());
        }
    }

    // --- The list ---

    @Test
    void linksToAPreviousAddressOfAServerAreNotUsedAgain() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                FakeServer moved = new FakeServer();
                Peer viewer = rig.acceptedViewer()) {
            rig.bus.nextRequest();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            rig.bus.write(ManagerHarness.event(2, ManagerHarness.entry("s-0", moved.port(), "in_service", 0)) + "\n");
            rig.waitUntil(() -> rig.process.counts().get("links.servers") == 0);
            viewer.send(ManagerHarness.setUp(2));
            moved.acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void eventsOutOfOrderAreRequestedAgainAndACompleteListIsTakenDespiteAGap() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                FakeServer other = new FakeServer()) {
            String two = ManagerHarness.event(2, ManagerHarness.entry("s-2", other.port(), "in_service", 0)) + "\n";
            String three =
                    ManagerHarness.event(3, ManagerHarness.entry("s-3", other.port() + 1, "in_service", 0)) + "\n";
            assertEquals("from 1", rig.bus.nextRequest());
            rig.bus.write(three + two);
            assertEquals("from 1", rig.bus.nextRequest());
            rig.bus.write(two + three);
            rig.waitUntil(() -> rig.process.counts().get("servers") == 3);
            rig.bus.write("{\"offset\":9,\"topology\":{\"generation\":9,\"reset\":true,\"instances\":["
                    + ManagerHarness.entry("s-0", rig.servers.get(0).port(), "in_service", 0) + "]}}\n");
            rig.waitUntil(() -> rig.process.counts().get("servers") == 1);
        }
    }

    @Test
    void eventsDuringTheStartAreKnownBeforeTheProcessListens() throws Exception {
        try (ManagerHarness form = new ManagerHarness(1);
                ManagerHarness.FakeBus bus = new ManagerHarness.FakeBus()) {
            int port = form.servers.get(0).port();
            bus.answer = ManagerHarness.event(
                            2,
                            ManagerHarness.entry("s-0", port, "terminating", 0),
                            ManagerHarness.entry("s-9", port + 1, "terminating", 0))
                    + "\n2\n";
            // slower than a process that does not wait for it, and no time passes for one that does
            bus.answerDelayMs = 100;
            ManagerHarness.ShiftedClock clock = new ManagerHarness.ShiftedClock();
            clock.stop();
            try (ManagerProcess process =
                            new ManagerProcess(ManagerConfig.read("config", form.config(bus.port(), 256)), clock);
                    Peer viewer = new Peer(new Socket(
                            InetAddress.getLoopbackAddress(), process.address().getPort()))) {
                assertEquals(2, process.counts().get("servers"));
                viewer.send(ManagerHarness.setUp(1));
                assertEquals(Cause.CONGESTION, viewer.next().cause());
                assertEquals(0, process.counts().getOrDefault("attempts", 0L));
            }
        }
    }

    @Test
    void aBusThatIsDownIsRetriedWithinADrainsGraceTime() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1, 256, 240)) {
            assertEquals("from 1", rig.bus.nextRequest());
            rig.clock.stop();
            rig.bus.listeningSocket.close();
            rig.bus.disconnect();
            rig.awaitCount("bus.broke", 1);
            // a quarter of the grace for each wait, however long it has been down
            for (int i = 1; i < 10; i++) {
                rig.clock.advance(62);
                rig.awaitCount("bus.broke", i + 1);
            }
        }
    }

    @Test
    void aLineThatNeverEndsCountsAsSilence() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1)) {
            assertEquals("from 1", rig.bus.nextRequest());
            rig.bus.write("1\n{\"offset\":2,");
            for (int i = 0; i < 4 && count(rig, "bus.silent") == 0; i++) {
                rig.bus.write("\"a\":");
                rig.clock.advance(1000);
            }
            assertEquals("from 1", rig.bus.nextRequest());
            assertEquals(1, count(rig, "bus.silent"));
        }
    }

    @Test
    void aHalfWrittenConfigurationIsReadAgain(@TempDir Path folder) throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                ManagerHarness.FakeBus next = new ManagerHarness.FakeBus()) {
            assertEquals("from 1", rig.bus.nextRequest());
            String whole = rig.config(next.port(), 256);
            Path file = folder.resolve("config.json");
            Files.writeString(file, whole.substring(0, whole.length() / 2));
            rig.inOneLoopTurn(() -> {
                rig.process.reload(file);
            });
            rig.process.counts();
            Files.writeString(file, whole);
            assertEquals("from 1", next.nextRequest(), "without another signal");
        }
    }

    // --- Shutdown ---

    @Test
    void aDrainDoesNotResetTheConnectionOfAViewerThatStillSends() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.process.drain();
            // what comes here has not been read when the drain is over: a plain close would reset the connection
            rig.afterDecisions(() -> {}, 800, () -> viewer.send(Message.of(MessageType.RLC, 2)));
            viewer.awaitEnd();
            viewer.disconnect();
            assertTrue(rig.process.await());
        }
    }

    @Test
    void aFragmentedSetUpDuringADrainIsAnswered() throws Exception {
        byte[] setUp = ManagerHarness.setUp(1).encode().array();
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.acceptedViewer()) {
            rig.process.drain();
            rig.process.drain();
            viewer.sendBytes(java.util.Arrays.copyOf(setUp, 11));
            rig.waitUntil(() -> rig.process.counts().get("links.viewers") == 1);
            rig.clock.advance(710);
            rig.process.counts();
            viewer.sendBytes(java.util.Arrays.copyOfRange(setUp, 11, setUp.length));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            assertTrue(rig.process.await());
        }
    }

    @Test
    void aSetUpDuringADrainIsAnsweredBeforeThePlatformKills() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.acceptedViewer()) {
            rig.clock.stop();
            rig.process.drain();
            rig.process.counts();
            rig.clock.advance(690);
            // the platform kills 2.7 s after SIGTERM, the longest deadline being 2 s; this one says that it waits for
            // longer
            viewer.send(Message.of(MessageType.IAM, 1)
                    .with(Parameter.CLASS, "course")
                    .with(Parameter.WAIT, "3900")
                    .with(Parameter.TITLE, "7f3a")
                    .with(Parameter.EXTRAS, "home:0;copies:12;top:2;viewer:00a1")
                    .with(Parameter.DESCRIPTION, ManagerHarness.VIEWER_DESCRIPTION));
            rig.serverWithMessage().next();
            // its attempt times out after 1.8 s; another would end behind the kill
            rig.clock.advance(1805);
            assertEquals(MessageType.REL, viewer.next().type());
            assertEquals(1, count(rig, "attempts"));
        }
    }

    // --- Requests in pieces ---

    @Test
    void aSetUpFragmentedAtAnyByteIsHandledOnce() throws Exception {
        byte[] bytes = ManagerHarness.setUp(1).encode().array();
        try (ManagerHarness rig = new ManagerHarness(1)) {
            for (int cut = 1; cut < bytes.length; cut++) {
                rig.markBytesRead();
                ByteBuffer.wrap(bytes).putLong(3, cut);
                try (Peer viewer = rig.acceptedViewer()) {
                    viewer.sendBytes(java.util.Arrays.copyOf(bytes, cut));
                    rig.awaitBytesRead(cut);
                    viewer.sendBytes(java.util.Arrays.copyOfRange(bytes, cut, bytes.length));
                    rig.servers.get(0).acceptSetUp();
                    assertEquals(MessageType.ANM, viewer.next().type());
                }
            }
            assertEquals(bytes.length - 1, count(rig, "asked"));
        }
    }
}
