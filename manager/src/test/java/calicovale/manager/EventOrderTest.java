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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests rare orders of events through real sockets. Each order is forced: the loop is paused while the peers act, so
 * that all their input is ready in one turn, in which the servers' connections are read first.
 */
@Timeout(60)
class EventOrderTest {
    /** Number of small messages that are more than the manager reads from a connection in one turn. */
    private static final int UNREAD_MESSAGES = 30_000;
    /** Time, in ms, after which a bus without a line is asked again. */
    private static final double BUS_SILENCE_MS = 2600;
    /** Time, in ms, within which the manager connects to the bus again. */
    private static final double BUS_RECONNECT_MS = 600;

    /** The ways in which a viewer leaves. */
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

    private static long count(ManagerHarness harness, String name) {
        return harness.process.counts().getOrDefault(name, 0L);
    }

    private static void awaitNoSessions(ManagerHarness harness) throws InterruptedException {
        harness.waitUntil(() -> {
            Map<String, Long> counts = harness.process.counts();
            return counts.get("held.out") == 0 && counts.get("held.standing") == 0;
        });
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void aServersErrorIsHandledAfterTheViewersDepartureInTheSameTurn(Departure departure) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.serverWithMessage().next();
            harness.inOneLoopTurn(() -> {
                setUp.peer().send(Message.release(1, Cause.UNAVAILABLE));
                departure.run(viewer, 1);
            });
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            assertEquals(1, count(harness, "attempts"));
        }
    }

    @Test
    void ofTwoFailedAttemptsOnlyThatOfTheRemainingViewerIsRetried() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer remainingViewer = harness.acceptedViewer();
                Peer leavingViewer = harness.acceptedViewer()) {
            harness.clock.stop();
            remainingViewer.send(ManagerHarness.setUp(1));
            FakeServer first = harness.serverWithMessage();
            FakeServer.Received firstSetUp = first.next();
            harness.clock.advance(10);
            leavingViewer.send(ManagerHarness.setUp(2));
            harness.awaitCount("attempts", 2);
            FakeServer.Received secondSetUp = harness.serverWithMessage().next();
            harness.clock.advance(10);
            harness.inOneLoopTurn(() -> {
                secondSetUp.peer().send(Message.release(2, Cause.UNAVAILABLE));
                firstSetUp.peer().send(Message.release(1, Cause.UNAVAILABLE));
                leavingViewer.disconnect();
            });
            harness.awaitCount("departed", 1);
            FakeServer.Received repeatedSetUp;
            do {
                repeatedSetUp = harness.serverWithMessage().next();
            } while (repeatedSetUp.message().type() != MessageType.IAM);
            assertEquals(1, repeatedSetUp.message().sessionId());
            repeatedSetUp
                    .peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, remainingViewer.next().type());
            assertEquals(3, count(harness, "attempts"));
        }
    }

    @Test
    void aCancelTakesEffectOnceItsLastByteHasCome() throws Exception {
        byte[] cancel = Message.release(1, Cause.NORMAL).encode().array();
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.serverWithMessage().next();
            viewer.sendBytes(java.util.Arrays.copyOf(cancel, cancel.length - 1));
            harness.inOneLoopTurn(() -> {
                setUp.peer().send(Message.release(1, Cause.UNAVAILABLE));
                viewer.sendBytes(cancel[cancel.length - 1]);
            });
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            assertEquals(1, count(harness, "attempts"));
        }
    }

    /** Guards against set-ups that are sent on while their viewer's departure lies far behind them in the socket. */
    @ParameterizedTest
    @EnumSource(
            value = Departure.class,
            names = {"CLOSE", "HALF_CLOSE", "CANCEL"})
    void aSetUpIsNotForwardedIfItsViewersDepartureFollowsMuchOtherInput(Departure departure) throws Exception {
        byte[] confirmation = Message.of(MessageType.RLC, 99).encode().array();
        ByteBuffer muchInput = ByteBuffer.allocate(UNREAD_MESSAGES * confirmation.length);
        while (muchInput.hasRemaining()) {
            muchInput.put(confirmation);
        }
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            harness.inOneLoopTurn(() -> {
                viewer.send(ManagerHarness.setUp(1));
                viewer.sendBytes(muchInput.array());
                departure.run(viewer, 1);
            });
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            assertEquals(0, count(harness, "attempts"));
        }
    }

    /** Guards against a session that runs twice because its id comes again after its viewer has left. */
    @ParameterizedTest
    @EnumSource(
            value = Departure.class,
            names = {"CLOSE", "RESET", "CANCEL"})
    void anIdThatWasSentToAServerIsNotSentAgainAfterItsViewersDeparture(Departure departure) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.acceptedViewer();
                Peer sameViewerLater = harness.acceptedViewer()) {
            viewer.send(ManagerHarness.setUp(1));
            harness.serverWithMessage().next();
            departure.run(viewer, 1);
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            sameViewerLater.send(ManagerHarness.setUp(1));
            Message answer = sameViewerLater.next(MessageType.REL);
            assertEquals(1, count(harness, "attempts"));
            assertEquals(Cause.INVALID_REFERENCE, answer.cause());
        }
    }

    /** Guards against a session that runs twice because its id comes again after its end. */
    @Test
    void anIdOfASessionThatIsOverIsNotSentAgain() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            viewer.send(ManagerHarness.setUp(1), Message.of(MessageType.UPT, 2));
            Message answer = viewer.next(MessageType.REL);
            assertEquals(1, count(harness, "attempts"));
            assertEquals(Cause.INVALID_REFERENCE, answer.cause());
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void aSetUpFollowedByItsViewersDepartureIsNotForwarded(Departure departure) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            harness.inOneLoopTurn(() -> {
                viewer.send(ManagerHarness.setUp(1));
                departure.run(viewer, 1);
            });
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            assertEquals(0, count(harness, "attempts"));
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void aLinkThatOpensSendsNothingForAViewerThatHasLeft(Departure departure) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            // the link is being opened here; its opening and the viewer's departure are ready in the same turn
            harness.afterDecisions(() -> viewer.send(ManagerHarness.setUp(1)), 0, () -> {
                harness.servers.get(0).awaitConnection();
                departure.run(viewer, 1);
            });
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            assertEquals(1, count(harness, "outcome.CANCELLED"));
            try (Peer next = harness.acceptedViewer()) {
                harness.clock.advance(10);
                next.send(ManagerHarness.setUp(2));
                assertEquals(2, harness.servers.get(0).next().message().sessionId(), "the first set-up was not sent");
            }
        }
    }

    @Test
    void anAnswerThatHasArrivedTakesPrecedenceOverItsTimeout() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.serverWithMessage().next();
            harness.inOneLoopTurn(() -> {
                setUp.peer()
                        .send(Message.of(MessageType.ANM, 1)
                                .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
                harness.clock.advance(400);
            });
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(harness, "attempts"));
        }
    }

    @Test
    void aTimeoutIsHandledAfterTheViewersDepartureInTheSameTurn() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            harness.serverWithMessage().next();
            harness.inOneLoopTurn(() -> {
                harness.clock.advance(400);
                viewer.disconnect();
            });
            harness.awaitCount("departed", 1);
            awaitNoSessions(harness);
            assertEquals(1, count(harness, "attempts"));
        }
    }

    @Test
    void anAttemptWhoseLinkIsLostWhileItTimesOutEndsOnce() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(3);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.serverWithMessage().next();
            // the attempt times out right after this pause, and its link is reset before the release is written
            harness.afterDecisions(() -> {}, 300, () -> setUp.peer().reset());
            FakeServer nextServer = harness.serverWithMessage();
            FakeServer.Received repeatedSetUp = nextServer.next();
            assertEquals(MessageType.IAM, repeatedSetUp.message().type());
            repeatedSetUp
                    .peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(harness, "outcome.TIMEOUT") + count(harness, "outcome.RESET"));
            assertEquals(2, count(harness, "attempts"));
        }
    }

    @Test
    void anAnswerFollowedByACloseIsHandled() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.serverWithMessage().next();
            harness.inOneLoopTurn(() -> {
                setUp.peer()
                        .send(Message.of(MessageType.ANM, 1)
                                .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
                setUp.peer().disconnect();
            });
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(harness, "held.standing"));
        }
    }

    @Test
    void aSetUpOnAnIdleLinkThatItsServerResetsEndsOnce() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            harness.clock.advance(10);
            harness.afterDecisions(
                    () -> viewer.send(ManagerHarness.setUp(2)),
                    0,
                    () -> setUp.peer().reset());
            assertEquals(Cause.CONGESTION, viewer.next().cause());
            assertEquals(1, count(harness, "outcome.RESET"));
            awaitNoSessions(harness);
        }
    }

    @Test
    void aReleaseWhoseLinkNeverOpensIsSentOnTheNext() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer server = harness.servers.get(0);
            FakeServer.Received setUp = server.acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            int port = server.port();
            harness.inOneLoopTurn(() -> {
                server.stopListening();
                setUp.peer().disconnect();
                viewer.send(Message.release(1, Cause.NORMAL));
            });
            harness.awaitCount("server.release-again", 1);
            try (FakeServer restartedServer = new FakeServer(port)) {
                harness.clock.advance(200);
                FakeServer.Received release = restartedServer.next();
                assertEquals(MessageType.REL, release.message().type());
                assertEquals(1, release.message().sessionId());
            }
        }
    }

    // --- Hand-overs ---

    private static Message handOver(long id, String server) {
        return ManagerHarness.setUp(id, "talk", "home:0;copies:12;top:2;viewer:00a1;at:" + server);
    }

    @Test
    void aHandOverAtAnUnlistedServerWaitsForTheList() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                FakeServer lateServer = new FakeServer();
                Peer viewer = harness.acceptedViewer()) {
            harness.bus.nextRequest();
            viewer.send(handOver(1, "s-late"));
            harness.awaitCount("handed-over.unlisted", 1);
            harness.bus.write(
                    ManagerHarness.event(2, ManagerHarness.entry("s-late", lateServer.port(), "in_service", 0)) + "\n");
            harness.waitUntil(() -> !lateServer.peers.isEmpty());
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, lateServer.next().message().cause(), "the release is sent to its server");
            awaitNoSessions(harness);
        }
    }

    @Test
    void aHandOverAtAServerThatIsNeverListedIsReleased() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            viewer.send(handOver(1, "s-nowhere"));
            harness.awaitCount("handed-over.unlisted", 1);
            harness.clock.advance(6600);
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
            harness.waitUntil(() -> harness.process.counts().get("servers") == 1);
        }
    }

    @Test
    void aServersReleaseThatCameBeforeTheHandOverIsPassedOn() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            viewer.send(ManagerHarness.setUp(5));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            harness.awaitCount("server.release-of-none", 1);
            viewer.send(handOver(1, "s-0"));
            Message release = viewer.next();
            assertEquals(1, release.sessionId());
            assertEquals(MessageType.REL, release.type());
            assertEquals(1, count(harness, "held.standing"));
        }
    }

    @Test
    void aViewersReleaseThatCameBeforeTheHandOverReachesTheServer() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            viewer.send(Message.release(1, Cause.NORMAL), handOver(1, "s-0"), handOver(1, "s-0"));
            FakeServer.Received release = harness.servers.get(0).next();
            assertEquals(MessageType.REL, release.message().type());
            assertEquals(1, release.message().sessionId());
        }
    }

    // --- Server list and event bus ---

    @Test
    void linksToAPreviousAddressOfAServerAreNotUsedAgain() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                FakeServer movedServer = new FakeServer();
                Peer viewer = harness.acceptedViewer()) {
            harness.bus.nextRequest();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            harness.bus.write(
                    ManagerHarness.event(2, ManagerHarness.entry("s-0", movedServer.port(), "in_service", 0)) + "\n");
            harness.waitUntil(() -> harness.process.counts().get("links.servers") == 0);
            viewer.send(ManagerHarness.setUp(2));
            movedServer.acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void eventsOutOfOrderAreRequestedAgainAndACompleteListIsTakenDespiteAGap() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                FakeServer other = new FakeServer()) {
            String secondEvent =
                    ManagerHarness.event(2, ManagerHarness.entry("s-2", other.port(), "in_service", 0)) + "\n";
            String thirdEvent =
                    ManagerHarness.event(3, ManagerHarness.entry("s-3", other.port() + 1, "in_service", 0)) + "\n";
            assertEquals("from 1", harness.bus.nextRequest());
            harness.bus.write(thirdEvent + secondEvent);
            assertEquals("from 1", harness.bus.nextRequest());
            harness.bus.write(secondEvent + thirdEvent);
            harness.waitUntil(() -> harness.process.counts().get("servers") == 3);
            harness.bus.write("{\"offset\":9,\"topology\":{\"generation\":9,\"reset\":true,\"instances\":["
                    + ManagerHarness.entry("s-0", harness.servers.get(0).port(), "in_service", 0) + "]}}\n");
            harness.waitUntil(() -> harness.process.counts().get("servers") == 1);
        }
    }

    @Test
    void eventsDuringTheStartAreKnownBeforeTheProcessListens() throws Exception {
        try (ManagerHarness configSource = new ManagerHarness(1);
                ManagerHarness.FakeBus bus = new ManagerHarness.FakeBus()) {
            int port = configSource.servers.get(0).port();
            bus.answer = ManagerHarness.event(
                            2,
                            ManagerHarness.entry("s-0", port, "terminating", 0),
                            ManagerHarness.entry("s-9", port + 1, "terminating", 0))
                    + "\n2\n";
            // a process that did not wait for the bus would listen within these 100 ms; the clock is stopped so that
            // START_TIMEOUT_MS of EventBusClient does not pass for one that waits
            bus.answerDelayMs = 100;
            ManagerHarness.ShiftedClock clock = new ManagerHarness.ShiftedClock();
            clock.stop();
            try (ManagerProcess process = new ManagerProcess(
                            ManagerConfig.read("config", configSource.config(bus.port(), 256)), clock);
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
        try (ManagerHarness harness = new ManagerHarness(1, 256, 240)) {
            assertEquals("from 1", harness.bus.nextRequest());
            harness.clock.stop();
            harness.bus.stopListening();
            harness.bus.disconnect();
            harness.awaitCount("bus.broke", 1);
            // each delay is at most a quarter of the grace time, however long the bus has been down
            for (int i = 1; i < 10; i++) {
                harness.clock.advance(62);
                harness.awaitCount("bus.broke", i + 1);
            }
        }
    }

    @Test
    void aLineThatNeverEndsCountsAsSilence() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1)) {
            assertEquals("from 1", harness.bus.nextRequest());
            harness.bus.write("1\n{\"offset\":2,");
            for (int i = 0; i < 4 && count(harness, "bus.silent") == 0; i++) {
                harness.bus.write("\"a\":");
                harness.clock.advance(1000);
            }
            assertEquals("from 1", harness.bus.nextRequest());
            assertEquals(1, count(harness, "bus.silent"));
        }
    }

    @Test
    void aHalfWrittenConfigurationIsReadAgain(@TempDir Path folder) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                ManagerHarness.FakeBus newBus = new ManagerHarness.FakeBus()) {
            assertEquals("from 1", harness.bus.nextRequest());
            String whole = harness.config(newBus.port(), 256);
            Path file = folder.resolve("config.json");
            Files.writeString(file, whole.substring(0, whole.length() / 2));
            harness.inOneLoopTurn(() -> {
                harness.process.reload(file);
            });
            harness.process.counts();
            Files.writeString(file, whole);
            assertEquals("from 1", newBus.nextRequest(), "without another signal");
        }
    }

    // --- Shutdown ---

    @Test
    void aDrainDoesNotResetTheConnectionOfAViewerThatStillSends() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.process.drain();
            // this message is unread when the drain ends, so a plain close would reset the connection
            harness.afterDecisions(() -> {}, 800, () -> viewer.send(Message.of(MessageType.RLC, 2)));
            viewer.awaitEnd();
            viewer.disconnect();
            assertTrue(harness.process.await());
        }
    }

    @Test
    void aFragmentedSetUpDuringADrainIsAnswered() throws Exception {
        byte[] bytes = ManagerHarness.setUp(1).encode().array();
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.acceptedViewer()) {
            harness.process.drain();
            harness.process.drain();
            viewer.sendBytes(java.util.Arrays.copyOf(bytes, 11));
            harness.waitUntil(() -> harness.process.counts().get("links.viewers") == 1);
            harness.clock.advance(710);
            harness.process.counts();
            viewer.sendBytes(java.util.Arrays.copyOfRange(bytes, 11, bytes.length));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            assertTrue(harness.process.await());
        }
    }

    @Test
    void aSetUpDuringADrainIsAnsweredBeforeThePlatformKills() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.acceptedViewer()) {
            harness.clock.stop();
            harness.process.drain();
            harness.process.counts();
            harness.clock.advance(690);
            // the platform kills the process 2.7 s after SIGTERM, because the longest deadline is 2 s; this viewer
            // waits for longer
            viewer.send(Message.of(MessageType.IAM, 1)
                    .with(Parameter.CLASS, "course")
                    .with(Parameter.WAIT, "3900")
                    .with(Parameter.TITLE, "7f3a")
                    .with(Parameter.EXTRAS, "home:0;copies:12;top:2;viewer:00a1")
                    .with(Parameter.DESCRIPTION, ManagerHarness.VIEWER_DESCRIPTION));
            harness.serverWithMessage().next();
            // the attempt times out after 1.8 s; a second one would end after the process was killed
            harness.clock.advance(1805);
            assertEquals(MessageType.REL, viewer.next().type());
            assertEquals(1, count(harness, "attempts"));
        }
    }

    // --- Fragmented set-ups ---

    @Test
    void aSetUpFragmentedAtAnyByteIsHandledOnce() throws Exception {
        byte[] bytes = ManagerHarness.setUp(1).encode().array();
        try (ManagerHarness harness = new ManagerHarness(1)) {
            for (int cut = 1; cut < bytes.length; cut++) {
                harness.markBytesRead();
                ByteBuffer.wrap(bytes).putLong(3, cut);
                try (Peer viewer = harness.acceptedViewer()) {
                    viewer.sendBytes(java.util.Arrays.copyOf(bytes, cut));
                    harness.awaitBytesRead(cut);
                    viewer.sendBytes(java.util.Arrays.copyOfRange(bytes, cut, bytes.length));
                    harness.servers.get(0).acceptSetUp();
                    assertEquals(MessageType.ANM, viewer.next().type());
                }
            }
            assertEquals(bytes.length - 1, count(harness, "asked"));
        }
    }

    /** Guards against a slow bus that is never heard, because each request is dropped before its answer comes. */
    @Test
    void anAnswerOfASlowBusIsHeardAfterItWasAskedAgain() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1)) {
            harness.clock.stop();
            assertEquals("from 1", harness.bus.nextRequest());
            harness.clock.advance(BUS_SILENCE_MS);
            harness.awaitCount("bus.silent", 1);
            harness.clock.advance(BUS_RECONNECT_MS);
            assertEquals("from 1", harness.bus.nextRequest());
            String event = ManagerHarness.event(
                            2,
                            ManagerHarness.entry("s-0", harness.servers.get(0).port(), "terminating", 0))
                    + "\n";
            byte[] answer = (event + event).getBytes(StandardCharsets.US_ASCII);
            harness.bus.connections.get(0).getOutputStream().write(answer);
            harness.awaitCount("bus.twice", 1);
            assertEquals(1, count(harness, "bus.slow"));
            assertEquals(-1, harness.bus.connections.get(1).getInputStream().read(), "the newer connection is closed");
        }
    }
}
