package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.Rig.Box;
import calicovale.manager.Rig.Peer;
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
class OrdersTest {

    /** The ways in which a viewer goes. */
    enum Going {
        CLOSE,
        RESET,
        HALF_CLOSE,
        CANCEL,
        CANCEL_AND_NEXT;

        void now(Peer viewer, long id) throws IOException {
            switch (this) {
                case CLOSE -> viewer.hangUp();
                case RESET -> viewer.reset();
                case HALF_CLOSE -> viewer.halfClose();
                case CANCEL -> viewer.send(Message.release(id, Cause.NORMAL));
                default -> viewer.send(Message.release(id, Cause.NORMAL), Message.of(MessageType.UPT, 99));
            }
        }
    }

    private static long count(Rig rig, String name) {
        return rig.process.counts().getOrDefault(name, 0L);
    }

    private static void nothingIsOut(Rig rig) throws InterruptedException {
        rig.until(() -> {
            Map<String, Long> counts = rig.process.counts();
            return counts.get("held.out") == 0 && counts.get("held.standing") == 0;
        });
    }

    @ParameterizedTest
    @EnumSource(Going.class)
    void aServersErrorDoesNotOvertakeItsViewersGoing(Going going) throws Exception {
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.asked().next();
            rig.inOneTurn(() -> {
                set.peer().send(Message.release(1, Cause.UNAVAILABLE));
                going.now(viewer, 1);
            });
            rig.await("departed", 1);
            nothingIsOut(rig);
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @Test
    void ofTwoViewersOnlyTheOneThatStayedIsTriedAgain() throws Exception {
        try (Rig rig = new Rig(2);
                Peer stays = rig.viewerWithin();
                Peer goes = rig.viewerWithin()) {
            rig.clock.stop();
            stays.send(Rig.setUp(1));
            Box first = rig.asked();
            Box.Came one = first.next();
            rig.clock.advance(10);
            goes.send(Rig.setUp(2));
            rig.await("attempts", 2);
            Box.Came two = rig.asked().next();
            rig.clock.advance(10);
            rig.inOneTurn(() -> {
                two.peer().send(Message.release(2, Cause.UNAVAILABLE));
                one.peer().send(Message.release(1, Cause.UNAVAILABLE));
                goes.hangUp();
            });
            rig.await("departed", 1);
            Box.Came again;
            do {
                again = rig.asked().next();
            } while (again.message().type() != MessageType.IAM);
            assertEquals(1, again.message().sessionId());
            again.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
            assertEquals(MessageType.ANM, stays.next().type());
            assertEquals(3, count(rig, "attempts"));
        }
    }

    @Test
    void aCancelIsHeardOnceItsLastByteHasCome() throws Exception {
        byte[] cancel = Message.release(1, Cause.NORMAL).encode().array();
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.asked().next();
            viewer.raw(java.util.Arrays.copyOf(cancel, cancel.length - 1));
            rig.inOneTurn(() -> {
                set.peer().send(Message.release(1, Cause.UNAVAILABLE));
                viewer.raw(cancel[cancel.length - 1]);
            });
            rig.await("departed", 1);
            nothingIsOut(rig);
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @ParameterizedTest
    @EnumSource(Going.class)
    void aSetUpWithItsViewersGoingBehindItIsNotSentOn(Going going) throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            rig.inOneTurn(() -> {
                viewer.send(Rig.setUp(1));
                going.now(viewer, 1);
            });
            rig.await("departed", 1);
            nothingIsOut(rig);
            assertEquals(0, count(rig, "attempts"));
        }
    }

    @ParameterizedTest
    @EnumSource(Going.class)
    void aLinkThatComesUpSendsNothingForAViewerThatHasGone(Going going) throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            // the link is being opened then; the loop hears that it stands together with the viewer's going
            rig.afterDecisions(() -> viewer.send(Rig.setUp(1)), 0, () -> {
                rig.boxes.get(0).awaitPeer();
                going.now(viewer, 1);
            });
            rig.await("departed", 1);
            nothingIsOut(rig);
            assertEquals(1, count(rig, "outcome.CANCELLED"));
            try (Peer next = rig.viewerWithin()) {
                rig.clock.advance(10);
                next.send(Rig.setUp(2));
                assertEquals(2, rig.boxes.get(0).next().message().sessionId(), "the first set-up was never written");
            }
        }
    }

    @Test
    void anAnswerThatIsThereOutranksItsTimeOut() throws Exception {
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.asked().next();
            rig.inOneTurn(() -> {
                set.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
                rig.clock.advance(400);
            });
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @Test
    void aTimeOutDoesNotOvertakeItsViewersGoing() throws Exception {
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            rig.asked().next();
            rig.inOneTurn(() -> {
                rig.clock.advance(400);
                viewer.hangUp();
            });
            rig.await("departed", 1);
            nothingIsOut(rig);
            assertEquals(1, count(rig, "attempts"));
        }
    }

    @Test
    void anAttemptWhoseLinkBreaksWhileItIsBeingEndedEndsOnce() throws Exception {
        try (Rig rig = new Rig(3);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.asked().next();
            // its time is up behind this hold, and its link is reset before the release is written
            rig.afterDecisions(() -> {}, 300, () -> set.peer().reset());
            Box next = rig.asked();
            Box.Came again = next.next();
            assertEquals(MessageType.IAM, again.message().type());
            again.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(rig, "outcome.TIMEOUT") + count(rig, "outcome.RESET"));
            assertEquals(2, count(rig, "attempts"));
        }
    }

    @Test
    void anAnswerAndTheCloseBehindItStand() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.asked().next();
            rig.inOneTurn(() -> {
                set.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
                set.peer().hangUp();
            });
            assertEquals(MessageType.ANM, viewer.next().type());
            assertEquals(1, count(rig, "held.standing"));
        }
    }

    @Test
    void aKeptLinkThatItsServerResetsAsASetUpGoesOutEndsItOnce() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            rig.clock.advance(10);
            rig.afterDecisions(
                    () -> viewer.send(Rig.setUp(2)), 0, () -> set.peer().reset());
            assertEquals(Cause.CONGESTION, viewer.next().cause());
            assertEquals(1, count(rig, "outcome.RESET"));
            nothingIsOut(rig);
        }
    }

    @Test
    void aReleaseWhoseLinkNeverComesUpIsSentOnTheNext() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.clock.stop();
            viewer.send(Rig.setUp(1));
            Box box = rig.boxes.get(0);
            Box.Came set = box.serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            int port = box.port();
            rig.inOneTurn(() -> {
                box.listenNoMore();
                set.peer().hangUp();
                viewer.send(Message.release(1, Cause.NORMAL));
            });
            rig.await("server.release-again", 1);
            try (Box again = new Box(port)) {
                rig.clock.advance(200);
                Box.Came release = again.next();
                assertEquals(MessageType.REL, release.message().type());
                assertEquals(1, release.message().sessionId());
            }
        }
    }

    // --- Hand-overs ---

    private static Message handOver(long id, String server) {
        return Rig.setUp(id, "talk", "home:0;copies:12;top:2;viewer:00a1;at:" + server);
    }

    @Test
    void aHandOverAtAServerThatTheListHasNotToldWaitsForIt() throws Exception {
        try (Rig rig = new Rig(1);
                Box late = new Box();
                Peer viewer = rig.viewerWithin()) {
            rig.bus.nextAsked();
            viewer.send(handOver(1, "s-late"));
            rig.await("handed-over.unlisted", 1);
            rig.bus.write(Rig.event(2, Rig.entry("s-late", late.port(), "in_service", 0)) + "\n");
            rig.until(() -> !late.peers.isEmpty());
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, late.next().message().cause(), "its end goes to its server");
            nothingIsOut(rig);
        }
    }

    @Test
    void aHandOverAtAServerThatIsNeverToldIsReleased() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            viewer.send(handOver(1, "s-nowhere"));
            rig.await("handed-over.unlisted", 1);
            rig.clock.advance(6600);
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
            rig.until(() -> rig.process.counts().get("servers") == 1);
        }
    }

    @Test
    void aReleaseThatCrossedItsHandOverIsPassedOn() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            viewer.send(Rig.setUp(5));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            rig.await("server.release-of-none", 1);
            viewer.send(handOver(1, "s-0"));
            Message over = viewer.next();
            assertEquals(1, over.sessionId());
            assertEquals(MessageType.REL, over.type());
            assertEquals(1, count(rig, "held.standing"));
        }
    }

    @Test
    void aViewersReleaseThatCrossedItsHandOverReachesTheServer() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            viewer.send(Message.release(1, Cause.NORMAL), handOver(1, "s-0"), handOver(1, "s-0"));
            Box.Came release = rig.boxes.get(0).next();
            assertEquals(MessageType.REL, release.message().type());
            assertEquals(1, release.message().sessionId());
        }
    }

    // --- The list ---

    @Test
    void linksToAnAddressThatAServerHasLeftAreNotUsedAgain() throws Exception {
        try (Rig rig = new Rig(1);
                Box moved = new Box();
                Peer viewer = rig.viewerWithin()) {
            rig.bus.nextAsked();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            rig.bus.write(Rig.event(2, Rig.entry("s-0", moved.port(), "in_service", 0)) + "\n");
            rig.until(() -> rig.process.counts().get("links.servers") == 0);
            viewer.send(Rig.setUp(2));
            moved.serve();
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void eventsInReverseAreAskedForAgainAndAWholeListIsTakenAsItIs() throws Exception {
        try (Rig rig = new Rig(1);
                Box other = new Box()) {
            String two = Rig.event(2, Rig.entry("s-2", other.port(), "in_service", 0)) + "\n";
            String three = Rig.event(3, Rig.entry("s-3", other.port() + 1, "in_service", 0)) + "\n";
            assertEquals("from 1", rig.bus.nextAsked());
            rig.bus.write(three + two);
            assertEquals("from 1", rig.bus.nextAsked());
            rig.bus.write(two + three);
            rig.until(() -> rig.process.counts().get("servers") == 3);
            rig.bus.write("{\"offset\":9,\"topology\":{\"generation\":9,\"reset\":true,\"instances\":["
                    + Rig.entry("s-0", rig.boxes.get(0).port(), "in_service", 0) + "]}}\n");
            rig.until(() -> rig.process.counts().get("servers") == 1);
        }
    }

    @Test
    void whatWasToldWhileTheProcessCameUpIsKnownBeforeItListens() throws Exception {
        try (Rig form = new Rig(1);
                Rig.Bus bus = new Rig.Bus()) {
            int port = form.boxes.get(0).port();
            bus.answer =
                    Rig.event(2, Rig.entry("s-0", port, "terminating", 0), Rig.entry("s-9", port + 1, "terminating", 0))
                            + "\n2\n";
            // slower than a process that does not wait for it, and no time passes for one that does
            bus.answerAfterMs = 100;
            Rig.ShiftedClock clock = new Rig.ShiftedClock();
            clock.stop();
            try (ManagerProcess process =
                            new ManagerProcess(ManagerConfig.read("config", form.config(bus.port(), 256)), clock);
                    Peer viewer = new Peer(new Socket(
                            InetAddress.getLoopbackAddress(), process.address().getPort()))) {
                assertEquals(2, process.counts().get("servers"));
                viewer.send(Rig.setUp(1));
                assertEquals(Cause.CONGESTION, viewer.next().cause());
                assertEquals(0, process.counts().getOrDefault("attempts", 0L));
            }
        }
    }

    @Test
    void aBusThatIsDownIsTriedWithinADrainsGrace() throws Exception {
        try (Rig rig = new Rig(1, 256, 240)) {
            assertEquals("from 1", rig.bus.nextAsked());
            rig.clock.stop();
            rig.bus.server.close();
            rig.bus.breakOff();
            rig.await("bus.broke", 1);
            // a quarter of the grace for each wait, however long it has been down
            for (int i = 1; i < 10; i++) {
                rig.clock.advance(62);
                rig.await("bus.broke", i + 1);
            }
        }
    }

    @Test
    void aLineThatNeverEndsIsASilence() throws Exception {
        try (Rig rig = new Rig(1)) {
            assertEquals("from 1", rig.bus.nextAsked());
            rig.bus.write("1\n{\"offset\":2,");
            for (int i = 0; i < 4 && count(rig, "bus.silent") == 0; i++) {
                rig.bus.write("\"a\":");
                rig.clock.advance(1000);
            }
            assertEquals("from 1", rig.bus.nextAsked());
            assertEquals(1, count(rig, "bus.silent"));
        }
    }

    @Test
    void aConfigurationCaughtHalfWrittenIsReadAgain(@TempDir Path folder) throws Exception {
        try (Rig rig = new Rig(1);
                Rig.Bus next = new Rig.Bus()) {
            assertEquals("from 1", rig.bus.nextAsked());
            String whole = rig.config(next.port(), 256);
            Path file = folder.resolve("config.json");
            Files.writeString(file, whole.substring(0, whole.length() / 2));
            rig.inOneTurn(() -> {
                rig.process.reload(file);
            });
            rig.process.counts();
            Files.writeString(file, whole);
            assertEquals("from 1", next.nextAsked(), "without another signal");
        }
    }

    // --- Shutdown ---

    @Test
    void aDrainEndsInOrderForAViewerThatStillSends() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.process.drain();
            // what comes here has not been read when the drain is over: a plain close would reset the connection
            rig.afterDecisions(() -> {}, 800, () -> viewer.send(Message.of(MessageType.RLC, 2)));
            viewer.awaitEnd();
            viewer.hangUp();
            assertTrue(rig.process.await());
        }
    }

    @Test
    void aSetUpInPiecesDuringADrainIsAnswered() throws Exception {
        byte[] setUp = Rig.setUp(1).encode().array();
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewerWithin()) {
            rig.process.drain();
            rig.process.drain();
            viewer.raw(java.util.Arrays.copyOf(setUp, 11));
            rig.until(() -> rig.process.counts().get("links.viewers") == 1);
            rig.clock.advance(710);
            rig.process.counts();
            viewer.raw(java.util.Arrays.copyOfRange(setUp, 11, setUp.length));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, viewer.next().type());
            assertTrue(rig.process.await());
        }
    }

    @Test
    void aSetUpDuringADrainIsAnsweredBeforeThePlatformKills() throws Exception {
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewerWithin()) {
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
                    .with(Parameter.DESCRIPTION, Rig.WANTED));
            rig.asked().next();
            // its attempt times out after 1.8 s; another would end behind the kill
            rig.clock.advance(1805);
            assertEquals(MessageType.REL, viewer.next().type());
            assertEquals(1, count(rig, "attempts"));
        }
    }

    // --- Requests in pieces ---

    @Test
    void aSetUpInPiecesAtEveryBoundaryIsTakenOnce() throws Exception {
        byte[] bytes = Rig.setUp(1).encode().array();
        try (Rig rig = new Rig(1)) {
            for (int cut = 1; cut < bytes.length; cut++) {
                rig.readFrom();
                ByteBuffer.wrap(bytes).putLong(3, cut);
                try (Peer viewer = rig.viewerWithin()) {
                    viewer.raw(java.util.Arrays.copyOf(bytes, cut));
                    rig.awaitRead(cut);
                    viewer.raw(java.util.Arrays.copyOfRange(bytes, cut, bytes.length));
                    rig.boxes.get(0).serve();
                    assertEquals(MessageType.ANM, viewer.next().type());
                }
            }
            assertEquals(bytes.length - 1, count(rig, "asked"));
        }
    }
}
