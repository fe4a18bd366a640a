package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.ManagerHarness.FakeServer;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The live session manager through real sockets, between stand-ins. */
@Timeout(60)
class ManagerTest {

    @Test
    void aSessionIsSetUpAnsweredAndReleased() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals("talk", set.message().text(Parameter.CLASS));
            assertEquals("7f3a", set.message().text(Parameter.TITLE));
            assertArrayEquals(ManagerHarness.VIEWER_DESCRIPTION, set.message().value(Parameter.DESCRIPTION));
            assertEquals("2", set.message().text(Parameter.RUNG));
            assertNull(set.message().value(Parameter.EXTRAS));
            Message answer = viewer.next();
            assertEquals(MessageType.ANM, answer.type());
            assertArrayEquals(ManagerHarness.SERVER_DESCRIPTION, answer.value(Parameter.DESCRIPTION));
            set.peer().send(Message.release(1, Cause.NORMAL));
            Message over = viewer.next();
            assertEquals(MessageType.REL, over.type());
            assertEquals(Cause.NORMAL, over.cause());
            rig.awaitCount("outcome.OK", 1);
        }
    }

    @Test
    void aSetUpThatEveryServerRefusesAsFullIsRefusedWithARetryAfter() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).next();
            set.peer().send(Message.release(1, Cause.NO_CIRCUIT).with(Parameter.LOAD, "util:1;x1:0.4"));
            Message refusal = viewer.next();
            assertEquals(Cause.CONGESTION, refusal.cause());
            assertTrue(Integer.parseInt(refusal.text(Parameter.RETRY_AFTER)) > 0);
        }
    }

    @Test
    void anAttemptThatTimesOutIsReleasedAndAnotherServerIsTried() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer first = rig.serverWithMessage();
            FakeServer other = rig.servers.get(1 - rig.servers.indexOf(first));
            assertEquals(MessageType.IAM, first.next().message().type());
            other.acceptSetUp();
            assertEquals(Cause.NORMAL, first.next().message().cause());
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void anAnswerToACancelledAttemptIsReleasedAndNotPassedOn() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).next();
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, rig.servers.get(0).next().message().cause());
            set.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            rig.awaitCount("server.answer-of-none", 1);
            assertEquals(Cause.NORMAL, rig.servers.get(0).next().message().cause(), "it is released at its server");
            viewer.send(Message.of(MessageType.UPT, 9));
            assertEquals(MessageType.RLC, viewer.next().type());
            assertEquals(MessageType.UPA, viewer.next().type());
        }
    }

    @Test
    void aPlayingSessionIsTakenOverWhateverItsWait() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Message.of(MessageType.IAM, 1)
                    .with(Parameter.CLASS, "course")
                    .with(Parameter.WAIT, "4294967")
                    .with(Parameter.TITLE, "7f3a")
                    .with(Parameter.EXTRAS, "home:0;copies:12;top:2;viewer:00a1;at:s-0")
                    .with(Parameter.DESCRIPTION, ManagerHarness.VIEWER_DESCRIPTION));
            rig.awaitCount("handed-over", 1);
            rig.waitUntil(() -> !rig.servers.get(0).peers.isEmpty());
            rig.servers.get(0).peers.get(0).send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause());
        }
    }

    @Test
    void sessionsOfAServerWhoseProcessDiedAreReleased() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.servers.get(0).kill();
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void sessionsOfASilentServerThatRefusesConnectionsAreReleased() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            // nothing listens any more, and the open link is left open without a word
            rig.servers.get(0).stopListening();
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void aServerThatRefusesConnectionsButSendsNotesKeepsItsSessions() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.servers.get(0).stopListening();
            // one is left open on the only link, so all others need a new one
            viewer.send(ManagerHarness.setUp(2, "course", "home:0;copies:12;top:2;viewer:00a1"));
            for (int i = 0; i < 30; i++) {
                viewer.send(ManagerHarness.setUp(10 + i));
                set.peer()
                        .send(Message.of(MessageType.CPG, 1)
                                .with(Parameter.NOTE, "nic")
                                .with(Parameter.VALUE, "0.5"));
                rig.awaitCount("note.LINK_USE", i + 1);
                Thread.sleep(30);
            }
            rig.awaitCount("server.refused", 4);
            set.peer().send(Message.release(1, Cause.NORMAL));
            Message over;
            do {
                over = viewer.next();
            } while (over.session() != 1);
            assertEquals(Cause.NORMAL, over.cause());
        }
    }

    @Test
    void aPlayingSessionOutlivesItsConnectionsOnBothSides() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            viewer.disconnect();
            set.peer().disconnect();
            rig.waitUntil(() -> rig.servers.get(0).peers.size() == 2);
            rig.servers.get(0).peers.get(1).send(Message.release(1, Cause.NORMAL));
            rig.awaitCount("outcome.OK", 1);
            try (Peer asks = rig.viewer();
                    Peer next = rig.viewer()) {
                // who only asks is not told of others' sessions; whose session stands is
                asks.send(Message.of(MessageType.UPT, 7));
                assertEquals(MessageType.UPA, asks.next().type());
                next.send(ManagerHarness.setUp(2));
                rig.servers.get(0).acceptSetUp();
                assertEquals(1, next.next(MessageType.REL).session());
            }
        }
    }

    @Test
    void aReleaseIsSentOnAConnectionWithPlayingSessionsThoughAnotherWasUsedLater() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer();
                Peer carries = rig.viewer();
                Peer asks = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            carries.send(ManagerHarness.setUp(2));
            rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, carries.next().type());
            viewer.disconnect();
            rig.waitUntil(() -> rig.process.counts().get("links.viewers") == 2);
            asks.send(Message.of(MessageType.UPT, 7));
            assertEquals(MessageType.UPA, asks.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(1, carries.next().session());
        }
    }

    @Test
    void aMalformedAnswerEndsOnlyItsConnectionAndTheAttemptsOnIt() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(2);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer first = rig.serverWithMessage();
            first.next().peer().sendBytes((byte) 0xff, (byte) 0xff, (byte) 9);
            rig.servers.get(1 - rig.servers.indexOf(first)).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.awaitCount("server.spoilt", 1);
        }
    }

    @Test
    void anIncompleteAnswerEndsItsConnection() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().sendBytes((byte) 0, (byte) 20, (byte) 9);
            rig.awaitCount("server.spoilt", 1);
        }
    }

    @Test
    void aNewRungIsSentToTheServerOfAPlayingSession() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            // its link is asked for twice over: the controller lowers what plays there
            FakeServer.Received rung = null;
            for (int i = 0; rung == null && i < 100; i++) {
                set.peer()
                        .send(Message.of(MessageType.CPG, 1)
                                .with(Parameter.NOTE, "nic")
                                .with(Parameter.VALUE, "2.0"));
                rung = rig.servers.get(0).received.poll(200, TimeUnit.MILLISECONDS);
            }
            assertNotNull(rung);
            assertEquals(MessageType.RUNG, rung.message().type());
            assertTrue(Integer.parseInt(rung.message().text(Parameter.RUNG)) < 2);
        }
    }

    @Test
    void invalidSetUpsGetAnErrorAndOtherConnectionsAreNotAffected() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer bad = rig.viewer();
                Peer good = rig.viewer()) {
            bad.send(ManagerHarness.setUp(1, "nothing", ""));
            assertEquals(Cause.INVALID_CONTENTS, bad.next().cause());
            bad.send(ManagerHarness.setUp(2, "talk", "home:99;copies:1;top:1"));
            assertEquals(Cause.INVALID_CONTENTS, bad.next().cause());
            bad.send(ManagerHarness.setUp(0));
            assertEquals(Cause.ELEMENT_MISSING, bad.next().cause());
            bad.send(Message.of(77, 3));
            assertEquals(Cause.TYPE_UNKNOWN, bad.next().cause());
            bad.sendBytes((byte) 0, (byte) 1, (byte) 1);
            assertEquals(Cause.PROTOCOL_ERROR, bad.next().cause());
            assertNull(bad.next());
            good.send(ManagerHarness.setUp(4));
            rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, good.next().type());
        }
    }

    @Test
    void aConnectionWithProtocolFaultsOnlyIsClosed() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer bad = rig.viewer()) {
            for (int i = 1; i <= 8; i++) {
                bad.send(Message.of(77, i));
                assertEquals(Cause.TYPE_UNKNOWN, bad.next().cause());
            }
            assertNull(bad.next());
            rig.awaitCount("viewer.too-many-faults", 1);
        }
    }

    @Test
    void anIdInUseIsRejectedOnAnotherConnectionAndItsOwnerKeepsIt() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer();
                Peer other = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).next();
            other.send(ManagerHarness.setUp(1));
            assertEquals(Cause.INVALID_REFERENCE, other.next().cause());
            set.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void twoSetUpsWithOneIdOnOneConnectionAreNeverServed() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).next();
            viewer.send(ManagerHarness.setUp(1));
            assertEquals(Cause.INVALID_REFERENCE, viewer.next().cause());
            set.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            rig.awaitCount("server.answer-of-none", 1);
            viewer.send(Message.of(MessageType.UPT, 9));
            assertEquals(MessageType.UPA, viewer.next().type(), "no answer came before");
        }
    }

    @Test
    void unansweredSetUpsOnOneConnectionAreBounded() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer flood = rig.viewer();
                Peer good = rig.viewer()) {
            for (int i = 1; i < 2000 && !rig.process.counts().containsKey("viewer.too-many-open"); i++) {
                flood.send(ManagerHarness.setUp(i, "course", "home:0;copies:12;top:2;viewer:00a1"));
                Thread.sleep(1);
            }
            rig.awaitCount("viewer.too-many-open", 1);
            Message refusal = flood.next(MessageType.REL);
            assertEquals(Cause.CONGESTION, refusal.cause());
            assertTrue(Integer.parseInt(refusal.text(Parameter.RETRY_AFTER)) > 0);
            good.send(ManagerHarness.setUp(5000));
            FakeServer.Received came;
            do {
                came = rig.servers.get(0).next();
            } while (came.message().session() != 5000);
        }
    }

    @Test
    void connectionsWithoutMessagesAreClosed() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer mute = rig.viewer()) {
            assertNull(mute.next());
        }
    }

    @Test
    void atTheLimitConnectionsWithoutMessagesAreClosedForNewOnes() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1, 64)) {
            Peer[] mute = new Peer[40];
            for (int i = 0; i < mute.length; i++) {
                mute[i] = rig.viewer();
            }
            rig.awaitCount("viewer.evicted", 20);
            try (Peer viewer = rig.viewer()) {
                viewer.send(ManagerHarness.setUp(1));
                rig.servers.get(0).acceptSetUp();
                assertEquals(MessageType.ANM, viewer.next().type());
            }
            for (Peer peer : mute) {
                peer.close();
            }
        }
    }

    @Test
    void atTheLimitConnectionsWithoutPlayingSessionsAreClosedFirst() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1, 64);
                Peer viewer = rig.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            Peer[] stay = new Peer[40];
            for (int i = 0; i < stay.length; i++) {
                stay[i] = rig.viewer();
                stay[i].send(Message.of(MessageType.UPT, 100 + i));
            }
            rig.awaitCount("viewer.evicted", 20);
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause());
            for (Peer peer : stay) {
                peer.close();
            }
        }
    }

    @Test
    void theClientReconnectsToTheBusAfterADisconnectASilenceAndAGap() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1)) {
            assertEquals("from 1", rig.bus.nextRequest());
            rig.bus.write("{\"offset\":1}\n"
                    + ManagerHarness.event(
                            2, ManagerHarness.entry("s-0", rig.servers.get(0).port(), "in_service", 0)) + "\n");
            rig.bus.write(
                    ManagerHarness.event(2) + "\n" + ManagerHarness.event(3).substring(0, 20));
            rig.awaitCount("bus.twice", 1);
            rig.bus.disconnect();
            assertEquals("from 2", rig.bus.nextRequest());
            rig.bus.write("3\n");
            assertEquals("from 2", rig.bus.nextRequest());
            rig.bus.write(ManagerHarness.event(3) + "\n");
            assertEquals("from 3", rig.bus.nextRequest(), "after a silence");
            rig.awaitCount("bus.silent", 1);
        }
    }

    @Test
    void aReplacedConfigurationChangesTheAddressOfTheBus(@TempDir Path folder) throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                ManagerHarness.FakeBus next = new ManagerHarness.FakeBus()) {
            assertEquals("from 1", rig.bus.nextRequest());
            Path file = folder.resolve("config.json");
            Files.writeString(file, "{");
            rig.process.reload(file);
            Files.writeString(file, rig.config(next.port(), 256));
            rig.process.reload(file);
            assertEquals("from 1", next.nextRequest());
        }
    }

    @Test
    void sessionsOfAServerWhoseAddressBelongsToAnotherAreReleased() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            rig.bus.nextRequest();
            viewer.send(ManagerHarness.setUp(1));
            rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.bus.write(ManagerHarness.event(
                            2, ManagerHarness.entry("s-new", rig.servers.get(0).port(), "in_service", 0))
                    + "\n");
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void aDrainAnswersSetUpsWaitsForPlayingSessionsAndEnds() throws Exception {
        try (ManagerHarness rig = new ManagerHarness(1);
                Peer viewer = rig.viewer()) {
            rig.process.drain();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received set = rig.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause(), "it plays to its end");
            rig.process.await();
        }
    }
}
