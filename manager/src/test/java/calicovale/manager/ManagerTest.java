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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the session manager through real sockets, with fake servers and a fake event bus. */
@Timeout(60)
class ManagerTest {

    @Test
    void aSessionIsSetUpAnsweredAndReleased() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals("talk", setUp.message().text(Parameter.CLASS));
            assertEquals("7f3a", setUp.message().text(Parameter.TITLE));
            assertArrayEquals(ManagerHarness.VIEWER_DESCRIPTION, setUp.message().value(Parameter.DESCRIPTION));
            assertEquals("2", setUp.message().text(Parameter.RUNG));
            assertNull(setUp.message().value(Parameter.EXTRAS));
            Message answer = viewer.next();
            assertEquals(MessageType.ANM, answer.type());
            assertArrayEquals(ManagerHarness.SERVER_DESCRIPTION, answer.value(Parameter.DESCRIPTION));
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            Message release = viewer.next();
            assertEquals(MessageType.REL, release.type());
            assertEquals(Cause.NORMAL, release.cause());
            harness.awaitCount("outcome.OK", 1);
        }
    }

    @Test
    void aSetUpThatEveryServerRefusesAsFullIsRefusedWithARetryAfter() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).next();
            setUp.peer().send(Message.release(1, Cause.NO_CIRCUIT).with(Parameter.LOAD, "util:1;x1:0.4"));
            Message refusal = viewer.next();
            assertEquals(Cause.CONGESTION, refusal.cause());
            assertTrue(Integer.parseInt(refusal.text(Parameter.RETRY_AFTER)) > 0);
        }
    }

    @Test
    void anAttemptThatTimesOutIsReleasedAndAnotherServerIsTried() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer first = harness.serverWithMessage();
            FakeServer other = harness.servers.get(1 - harness.servers.indexOf(first));
            assertEquals(MessageType.IAM, first.next().message().type());
            other.acceptSetUp();
            assertEquals(Cause.NORMAL, first.next().message().cause());
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void anAnswerToACancelledAttemptIsReleasedAndNotPassedOn() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).next();
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, harness.servers.get(0).next().message().cause());
            setUp.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            harness.awaitCount("server.answer-of-none", 1);
            assertEquals(
                    Cause.NORMAL,
                    harness.servers.get(0).next().message().cause(),
                    "the session is released at its server");
            viewer.send(Message.of(MessageType.UPT, 9));
            assertEquals(MessageType.RLC, viewer.next().type());
            assertEquals(MessageType.UPA, viewer.next().type());
        }
    }

    @Test
    void aPlayingSessionIsTakenOverWhateverItsWait() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(Message.of(MessageType.IAM, 1)
                    .with(Parameter.CLASS, "course")
                    .with(Parameter.WAIT, "4294967")
                    .with(Parameter.TITLE, "7f3a")
                    .with(Parameter.EXTRAS, "home:0;copies:12;top:2;viewer:00a1;at:s-0")
                    .with(Parameter.DESCRIPTION, ManagerHarness.VIEWER_DESCRIPTION));
            harness.awaitCount("handed-over", 1);
            harness.waitUntil(() -> !harness.servers.get(0).peers.isEmpty());
            harness.servers.get(0).peers.get(0).send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause());
        }
    }

    @Test
    void sessionsOfAServerWhoseProcessDiedAreReleased() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            harness.servers.get(0).kill();
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void sessionsOfASilentServerThatRefusesConnectionsAreReleased() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            // new connections are refused, and the open link stays open without messages
            harness.servers.get(0).stopListening();
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void aServerThatRefusesConnectionsButSendsNotesKeepsItsSessions() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            harness.servers.get(0).stopListening();
            // this attempt stays open on the only link, so all others need a new one
            viewer.send(ManagerHarness.setUp(2, "course", "home:0;copies:12;top:2;viewer:00a1"));
            for (int i = 0; i < 30; i++) {
                viewer.send(ManagerHarness.setUp(10 + i));
                setUp.peer()
                        .send(Message.of(MessageType.CPG, 1)
                                .with(Parameter.NOTE, "nic")
                                .with(Parameter.VALUE, "0.5"));
                harness.awaitCount("note.LINK_USE", i + 1);
                Thread.sleep(30);
            }
            harness.awaitCount("server.refused", 4);
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            Message release;
            do {
                release = viewer.next();
            } while (release.sessionId() != 1);
            assertEquals(Cause.NORMAL, release.cause());
        }
    }

    @Test
    void aPlayingSessionOutlivesItsConnectionsOnBothSides() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            viewer.disconnect();
            setUp.peer().disconnect();
            harness.waitUntil(() -> harness.servers.get(0).peers.size() == 2);
            harness.servers.get(0).peers.get(1).send(Message.release(1, Cause.NORMAL));
            harness.awaitCount("outcome.OK", 1);
            try (Peer viewerWithoutSessions = harness.viewer();
                    Peer viewerWithSession = harness.viewer()) {
                // the release is not sent on a connection without sessions, but on one with a playing session
                viewerWithoutSessions.send(Message.of(MessageType.UPT, 7));
                assertEquals(MessageType.UPA, viewerWithoutSessions.next().type());
                viewerWithSession.send(ManagerHarness.setUp(2));
                harness.servers.get(0).acceptSetUp();
                assertEquals(1, viewerWithSession.next(MessageType.REL).sessionId());
            }
        }
    }

    @Test
    void aReleaseIsSentOnAConnectionWithPlayingSessionsThoughAnotherWasUsedLater() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer();
                Peer viewerWithSession = harness.viewer();
                Peer viewerWithoutSessions = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            viewerWithSession.send(ManagerHarness.setUp(2));
            harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewerWithSession.next().type());
            viewer.disconnect();
            harness.waitUntil(() -> harness.process.counts().get("links.viewers") == 2);
            viewerWithoutSessions.send(Message.of(MessageType.UPT, 7));
            assertEquals(MessageType.UPA, viewerWithoutSessions.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(1, viewerWithSession.next().sessionId());
        }
    }

    /**
     * Guards against lost releases: after the end of their own connection they waited for one with a playing session,
     * which never comes while all set-ups are refused.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aReleaseIsSentOnAConnectionWhoseSetUpsAreRefused(boolean connectedBeforeTheRelease) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            viewer.reset();
            harness.waitUntil(() -> harness.process.counts().get("links.viewers") == 0);
            if (!connectedBeforeTheRelease) {
                setUp.peer().send(Message.release(1, Cause.NORMAL));
                harness.awaitCount("outcome.OK", 1);
            }
            try (Peer next = harness.viewer()) {
                next.send(ManagerHarness.setUp(2));
                harness.servers.get(0).next().peer().send(Message.release(2, Cause.NO_CIRCUIT));
                if (connectedBeforeTheRelease) {
                    assertEquals(2, next.next().sessionId());
                    setUp.peer().send(Message.release(1, Cause.NORMAL));
                    assertEquals(1, next.next().sessionId());
                } else {
                    assertEquals(1, next.next().sessionId());
                    assertEquals(2, next.next().sessionId());
                }
                next.send(ManagerHarness.setUp(3));
                assertEquals(3, next.next().sessionId(), "the release is not sent twice on one connection");
            }
        }
    }

    @Test
    void aMalformedAnswerEndsOnlyItsConnectionAndTheAttemptsOnIt() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(2);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer first = harness.serverWithMessage();
            first.next().peer().sendBytes((byte) 0xff, (byte) 0xff, (byte) 9);
            harness.servers.get(1 - harness.servers.indexOf(first)).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            harness.awaitCount("server.spoilt", 1);
        }
    }

    @Test
    void anIncompleteAnswerEndsItsConnection() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().sendBytes((byte) 0, (byte) 20, (byte) 9);
            harness.awaitCount("server.spoilt", 1);
        }
    }

    @Test
    void aNewRungIsSentToTheServerOfAPlayingSession() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            // at twice the capacity of the link the controller lowers the rungs of the sessions there
            FakeServer.Received rung = null;
            for (int i = 0; rung == null && i < 100; i++) {
                setUp.peer()
                        .send(Message.of(MessageType.CPG, 1)
                                .with(Parameter.NOTE, "nic")
                                .with(Parameter.VALUE, "2.0"));
                rung = harness.servers.get(0).received.poll(200, TimeUnit.MILLISECONDS);
            }
            assertNotNull(rung);
            assertEquals(MessageType.RUNG, rung.message().type());
            assertTrue(Integer.parseInt(rung.message().text(Parameter.RUNG)) < 2);
        }
    }

    @Test
    void invalidSetUpsGetAnErrorAndOtherConnectionsAreNotAffected() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer bad = harness.viewer();
                Peer good = harness.viewer()) {
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
            harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, good.next().type());
        }
    }

    @Test
    void aConnectionWithProtocolFaultsOnlyIsClosed() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer bad = harness.viewer()) {
            for (int i = 1; i <= 8; i++) {
                bad.send(Message.of(77, i));
                assertEquals(Cause.TYPE_UNKNOWN, bad.next().cause());
            }
            assertNull(bad.next());
            harness.awaitCount("viewer.too-many-faults", 1);
        }
    }

    @Test
    void anIdInUseIsRejectedOnAnotherConnectionAndItsOwnerKeepsIt() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer();
                Peer other = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).next();
            other.send(ManagerHarness.setUp(1));
            assertEquals(Cause.INVALID_REFERENCE, other.next().cause());
            setUp.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void twoSetUpsWithOneIdOnOneConnectionAreNeverServed() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).next();
            viewer.send(ManagerHarness.setUp(1));
            assertEquals(Cause.INVALID_REFERENCE, viewer.next().cause());
            setUp.peer()
                    .send(Message.of(MessageType.ANM, 1)
                            .with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            harness.awaitCount("server.answer-of-none", 1);
            viewer.send(Message.of(MessageType.UPT, 9));
            assertEquals(MessageType.UPA, viewer.next().type(), "the set-ups got no other answer");
        }
    }

    @Test
    void unansweredSetUpsOnOneConnectionAreBounded() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer flood = harness.viewer();
                Peer good = harness.viewer()) {
            for (int i = 1; i < 2000 && !harness.process.counts().containsKey("viewer.too-many-open"); i++) {
                flood.send(ManagerHarness.setUp(i, "course", "home:0;copies:12;top:2;viewer:00a1"));
                Thread.sleep(1);
            }
            harness.awaitCount("viewer.too-many-open", 1);
            Message refusal = flood.next(MessageType.REL);
            assertEquals(Cause.CONGESTION, refusal.cause());
            assertTrue(Integer.parseInt(refusal.text(Parameter.RETRY_AFTER)) > 0);
            good.send(ManagerHarness.setUp(5000));
            FakeServer.Received received;
            do {
                received = harness.servers.get(0).next();
            } while (received.message().sessionId() != 5000);
        }
    }

    @Test
    void connectionsWithoutMessagesAreClosed() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer mute = harness.viewer()) {
            assertNull(mute.next());
        }
    }

    @Test
    void atTheLimitConnectionsWithoutMessagesAreClosedForNewOnes() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1, 64)) {
            Peer[] mute = new Peer[40];
            for (int i = 0; i < mute.length; i++) {
                mute[i] = harness.viewer();
            }
            harness.awaitCount("viewer.evicted", 20);
            try (Peer viewer = harness.viewer()) {
                viewer.send(ManagerHarness.setUp(1));
                harness.servers.get(0).acceptSetUp();
                assertEquals(MessageType.ANM, viewer.next().type());
            }
            for (Peer peer : mute) {
                peer.close();
            }
        }
    }

    @Test
    void atTheLimitConnectionsWithoutPlayingSessionsAreClosedFirst() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1, 64);
                Peer viewer = harness.viewer()) {
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            Peer[] viewersWithoutSessions = new Peer[40];
            for (int i = 0; i < viewersWithoutSessions.length; i++) {
                viewersWithoutSessions[i] = harness.viewer();
                viewersWithoutSessions[i].send(Message.of(MessageType.UPT, 100 + i));
            }
            harness.awaitCount("viewer.evicted", 20);
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause());
            for (Peer peer : viewersWithoutSessions) {
                peer.close();
            }
        }
    }

    @Test
    void theClientReconnectsToTheBusAfterADisconnectASilenceAndAGap() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1)) {
            assertEquals("from 1", harness.bus.nextRequest());
            harness.bus.write("{\"offset\":1}\n"
                    + ManagerHarness.event(
                            2,
                            ManagerHarness.entry("s-0", harness.servers.get(0).port(), "in_service", 0))
                    + "\n");
            harness.bus.write(
                    ManagerHarness.event(2) + "\n" + ManagerHarness.event(3).substring(0, 20));
            harness.awaitCount("bus.twice", 1);
            harness.bus.disconnect();
            assertEquals("from 2", harness.bus.nextRequest());
            harness.bus.write("3\n");
            assertEquals("from 2", harness.bus.nextRequest());
            harness.bus.write(ManagerHarness.event(3) + "\n");
            assertEquals("from 3", harness.bus.nextRequest(), "after a silence");
            harness.awaitCount("bus.silent", 1);
        }
    }

    @Test
    void aReplacedConfigurationChangesTheAddressOfTheBus(@TempDir Path folder) throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                ManagerHarness.FakeBus newBus = new ManagerHarness.FakeBus()) {
            assertEquals("from 1", harness.bus.nextRequest());
            Path file = folder.resolve("config.json");
            Files.writeString(file, "{");
            harness.process.reload(file);
            Files.writeString(file, harness.config(newBus.port(), 256));
            harness.process.reload(file);
            assertEquals("from 1", newBus.nextRequest());
        }
    }

    @Test
    void sessionsOfAServerWhoseAddressBelongsToAnotherAreReleased() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            harness.bus.nextRequest();
            viewer.send(ManagerHarness.setUp(1));
            harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            harness.bus.write(ManagerHarness.event(
                            2,
                            ManagerHarness.entry("s-new", harness.servers.get(0).port(), "in_service", 0))
                    + "\n");
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void aDrainAnswersSetUpsWaitsForPlayingSessionsAndEnds() throws Exception {
        try (ManagerHarness harness = new ManagerHarness(1);
                Peer viewer = harness.viewer()) {
            harness.process.drain();
            viewer.send(ManagerHarness.setUp(1));
            FakeServer.Received setUp = harness.servers.get(0).acceptSetUp();
            assertEquals(MessageType.ANM, viewer.next().type());
            setUp.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause(), "the session plays to its end");
            harness.process.await();
        }
    }
}
