package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.Rig.Box;
import calicovale.manager.Rig.Peer;
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
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals("talk", set.message().text(Parameter.CLASS));
            assertEquals("7f3a", set.message().text(Parameter.TITLE));
            assertArrayEquals(Rig.WANTED, set.message().value(Parameter.DESCRIPTION));
            assertEquals("2", set.message().text(Parameter.RUNG));
            assertNull(set.message().value(Parameter.EXTRAS));
            Message answer = viewer.next();
            assertEquals(MessageType.ANM, answer.type());
            assertArrayEquals(Rig.GIVEN, answer.value(Parameter.DESCRIPTION));
            set.peer().send(Message.release(1, Cause.NORMAL));
            Message over = viewer.next();
            assertEquals(MessageType.REL, over.type());
            assertEquals(Cause.NORMAL, over.cause());
            rig.await("outcome.OK", 1);
        }
    }

    @Test
    void whatIsFullEverywhereIsRefusedAtOnceWithWhenToComeBack() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).next();
            set.peer().send(Message.release(1, Cause.NO_CIRCUIT).with(Parameter.LOAD, "util:1;x1:0.4"));
            Message refusal = viewer.next();
            assertEquals(Cause.CONGESTION, refusal.cause());
            assertTrue(Integer.parseInt(refusal.text(Parameter.RETRY_AFTER)) > 0);
        }
    }

    @Test
    void anAttemptThatIsOverdueIsGivenUpBeforeTheNextGoesOut() throws Exception {
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box first = rig.asked();
            Box other = rig.boxes.get(1 - rig.boxes.indexOf(first));
            assertEquals(MessageType.IAM, first.next().message().type());
            other.serve();
            assertEquals(Cause.NORMAL, first.next().message().cause());
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void anAnswerOfAnAttemptThatWasGivenUpIsNotPassedOn() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).next();
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, rig.boxes.get(0).next().message().cause());
            set.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
            rig.await("server.answer-of-none", 1);
            assertEquals(Cause.NORMAL, rig.boxes.get(0).next().message().cause(), "it is released at its server");
            viewer.send(Message.of(MessageType.UPT, 9));
            assertEquals(MessageType.RLC, viewer.next().type());
            assertEquals(MessageType.UPA, viewer.next().type());
        }
    }

    @Test
    void whatPlaysAlreadyIsTakenOverWhateverWaitItNames() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Message.of(MessageType.IAM, 1)
                    .with(Parameter.CLASS, "course")
                    .with(Parameter.WAIT, "4294967")
                    .with(Parameter.TITLE, "7f3a")
                    .with(Parameter.EXTRAS, "home:0;copies:12;top:2;viewer:00a1;at:s-0")
                    .with(Parameter.DESCRIPTION, Rig.WANTED));
            rig.await("handed-over", 1);
            rig.until(() -> !rig.boxes.get(0).peers.isEmpty());
            rig.boxes.get(0).peers.get(0).send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause());
        }
    }

    @Test
    void whatStoodAtAProcessThatDiedIsReleased() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.boxes.get(0).die();
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void whatStoodAtAServerThatFellSilentAndRefusesIsReleased() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            // nothing listens any more, and the open link is left open without a word
            rig.boxes.get(0).listenNoMore();
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void aServerThatListensNoMoreButSpeaksKeepsItsSessions() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.boxes.get(0).listenNoMore();
            // one is left open on the only link, so all others need a new one
            viewer.send(Rig.setUp(2, "course", "home:0;copies:12;top:2;viewer:00a1"));
            for (int i = 0; i < 30; i++) {
                viewer.send(Rig.setUp(10 + i));
                set.peer()
                        .send(Message.of(MessageType.CPG, 1)
                                .with(Parameter.NOTE, "nic")
                                .with(Parameter.VALUE, "0.5"));
                rig.await("note.LINK_USE", i + 1);
                Thread.sleep(30);
            }
            rig.await("server.refused", 4);
            set.peer().send(Message.release(1, Cause.NORMAL));
            Message over;
            do {
                over = viewer.next();
            } while (over.sessionId() != 1);
            assertEquals(Cause.NORMAL, over.cause());
        }
    }

    @Test
    void whatStandsOutlivesItsConnectionsOnBothSides() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            viewer.hangUp();
            set.peer().hangUp();
            rig.until(() -> rig.boxes.get(0).peers.size() == 2);
            rig.boxes.get(0).peers.get(1).send(Message.release(1, Cause.NORMAL));
            rig.await("outcome.OK", 1);
            try (Peer asks = rig.viewer();
                    Peer next = rig.viewer()) {
                // who only asks is not told of others' sessions; whose session stands is
                asks.send(Message.of(MessageType.UPT, 7));
                assertEquals(MessageType.UPA, asks.next().type());
                next.send(Rig.setUp(2));
                rig.boxes.get(0).serve();
                assertEquals(1, next.next(MessageType.REL).sessionId());
            }
        }
    }

    @Test
    void aReleaseGoesByAConnectionThatCarriesThoughAnotherSpokeLast() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer();
                Peer carries = rig.viewer();
                Peer asks = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            carries.send(Rig.setUp(2));
            rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, carries.next().type());
            viewer.hangUp();
            rig.until(() -> rig.process.counts().get("links.viewers") == 2);
            asks.send(Message.of(MessageType.UPT, 7));
            assertEquals(MessageType.UPA, asks.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(1, carries.next().sessionId());
        }
    }

    @Test
    void aSpoiltAnswerEndsItsConnectionAndTheAttemptsOnItOnly() throws Exception {
        try (Rig rig = new Rig(2);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box first = rig.asked();
            first.next().peer().raw((byte) 0xff, (byte) 0xff, (byte) 9);
            rig.boxes.get(1 - rig.boxes.indexOf(first)).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.await("server.spoilt", 1);
        }
    }

    @Test
    void halfAnAnswerEndsItsConnection() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().raw((byte) 0, (byte) 20, (byte) 9);
            rig.await("server.spoilt", 1);
        }
    }

    @Test
    void aNewRungGoesToTheServerOfASessionThatPlays() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            // its link is asked for twice over: the controller lowers what plays there
            Box.Came rung = null;
            for (int i = 0; rung == null && i < 100; i++) {
                set.peer()
                        .send(Message.of(MessageType.CPG, 1)
                                .with(Parameter.NOTE, "nic")
                                .with(Parameter.VALUE, "2.0"));
                rung = rig.boxes.get(0).came.poll(200, TimeUnit.MILLISECONDS);
            }
            assertNotNull(rung);
            assertEquals(MessageType.RUNG, rung.message().type());
            assertTrue(Integer.parseInt(rung.message().text(Parameter.RUNG)) < 2);
        }
    }

    @Test
    void badSetUpsGetTheProtocolsErrorAndNobodyElseNotices() throws Exception {
        try (Rig rig = new Rig(1);
                Peer bad = rig.viewer();
                Peer good = rig.viewer()) {
            bad.send(Rig.setUp(1, "nothing", ""));
            assertEquals(Cause.INVALID_CONTENTS, bad.next().cause());
            bad.send(Rig.setUp(2, "talk", "home:99;copies:1;top:1"));
            assertEquals(Cause.INVALID_CONTENTS, bad.next().cause());
            bad.send(Rig.setUp(0));
            assertEquals(Cause.ELEMENT_MISSING, bad.next().cause());
            bad.send(Message.of(77, 3));
            assertEquals(Cause.TYPE_UNKNOWN, bad.next().cause());
            bad.raw((byte) 0, (byte) 1, (byte) 1);
            assertEquals(Cause.PROTOCOL_ERROR, bad.next().cause());
            assertNull(bad.next());
            good.send(Rig.setUp(4));
            rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, good.next().type());
        }
    }

    @Test
    void aConnectionThatBringsFaultsOnlyIsClosed() throws Exception {
        try (Rig rig = new Rig(1);
                Peer bad = rig.viewer()) {
            for (int i = 1; i <= 8; i++) {
                bad.send(Message.of(77, i));
                assertEquals(Cause.TYPE_UNKNOWN, bad.next().cause());
            }
            assertNull(bad.next());
            rig.await("viewer.too-many-faults", 1);
        }
    }

    @Test
    void aNumberInUseIsRefusedToAnotherAndItsOwnerKeepsIt() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer();
                Peer other = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).next();
            other.send(Rig.setUp(1));
            assertEquals(Cause.INVALID_REFERENCE, other.next().cause());
            set.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
            assertEquals(MessageType.ANM, viewer.next().type());
        }
    }

    @Test
    void twoSetUpsOfOneNumberAreNeverServed() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).next();
            viewer.send(Rig.setUp(1));
            assertEquals(Cause.INVALID_REFERENCE, viewer.next().cause());
            set.peer().send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, Rig.GIVEN));
            rig.await("server.answer-of-none", 1);
            viewer.send(Message.of(MessageType.UPT, 9));
            assertEquals(MessageType.UPA, viewer.next().type(), "no answer came before");
        }
    }

    @Test
    void setUpsOpenOnOneConnectionAreBounded() throws Exception {
        try (Rig rig = new Rig(1);
                Peer flood = rig.viewer();
                Peer good = rig.viewer()) {
            for (int i = 1; i < 2000 && !rig.process.counts().containsKey("viewer.too-many-open"); i++) {
                flood.send(Rig.setUp(i, "course", "home:0;copies:12;top:2;viewer:00a1"));
                Thread.sleep(1);
            }
            rig.await("viewer.too-many-open", 1);
            Message refusal = flood.next(MessageType.REL);
            assertEquals(Cause.CONGESTION, refusal.cause());
            assertTrue(Integer.parseInt(refusal.text(Parameter.RETRY_AFTER)) > 0);
            good.send(Rig.setUp(5000));
            Box.Came came;
            do {
                came = rig.boxes.get(0).next();
            } while (came.message().sessionId() != 5000);
        }
    }

    @Test
    void connectionsThatSayNothingAreClosed() throws Exception {
        try (Rig rig = new Rig(1);
                Peer mute = rig.viewer()) {
            assertNull(mute.next());
        }
    }

    @Test
    void atTheLimitMuteConnectionsGiveWayToThoseThatAsk() throws Exception {
        try (Rig rig = new Rig(1, 64)) {
            Peer[] mute = new Peer[40];
            for (int i = 0; i < mute.length; i++) {
                mute[i] = rig.viewer();
            }
            rig.await("viewer.evicted", 20);
            try (Peer viewer = rig.viewer()) {
                viewer.send(Rig.setUp(1));
                rig.boxes.get(0).serve();
                assertEquals(MessageType.ANM, viewer.next().type());
            }
            for (Peer peer : mute) {
                peer.close();
            }
        }
    }

    @Test
    void atTheLimitConnectionsThatAskedOnceGiveWayToOnesWhoseSessionsStand() throws Exception {
        try (Rig rig = new Rig(1, 64);
                Peer viewer = rig.viewer()) {
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            Peer[] stay = new Peer[40];
            for (int i = 0; i < stay.length; i++) {
                stay[i] = rig.viewer();
                stay[i].send(Message.of(MessageType.UPT, 100 + i));
            }
            rig.await("viewer.evicted", 20);
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause());
            for (Peer peer : stay) {
                peer.close();
            }
        }
    }

    @Test
    void theBusIsAskedAgainAfterABreakASilenceAndAGap() throws Exception {
        try (Rig rig = new Rig(1)) {
            assertEquals("from 1", rig.bus.nextAsked());
            rig.bus.write("{\"offset\":1}\n"
                    + Rig.event(2, Rig.entry("s-0", rig.boxes.get(0).port(), "in_service", 0)) + "\n");
            rig.bus.write(Rig.event(2) + "\n" + Rig.event(3).substring(0, 20));
            rig.await("bus.twice", 1);
            rig.bus.breakOff();
            assertEquals("from 2", rig.bus.nextAsked());
            rig.bus.write("3\n");
            assertEquals("from 2", rig.bus.nextAsked());
            rig.bus.write(Rig.event(3) + "\n");
            assertEquals("from 3", rig.bus.nextAsked(), "after a silence");
            rig.await("bus.silent", 1);
        }
    }

    @Test
    void aReplacedConfigurationMovesTheBus(@TempDir Path folder) throws Exception {
        try (Rig rig = new Rig(1);
                Rig.Bus next = new Rig.Bus()) {
            assertEquals("from 1", rig.bus.nextAsked());
            Path file = folder.resolve("config.json");
            Files.writeString(file, "{");
            rig.process.reload(file);
            Files.writeString(file, rig.config(next.port(), 256));
            rig.process.reload(file);
            assertEquals("from 1", next.nextAsked());
        }
    }

    @Test
    void whatStandsAtAServerWhoseAddressHasANewOwnerIsReleased() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            rig.bus.nextAsked();
            viewer.send(Rig.setUp(1));
            rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            rig.bus.write(Rig.event(2, Rig.entry("s-new", rig.boxes.get(0).port(), "in_service", 0)) + "\n");
            assertEquals(Cause.TEMPORARY_FAILURE, viewer.next().cause());
        }
    }

    @Test
    void aDrainAnswersWhatCameAndEnds() throws Exception {
        try (Rig rig = new Rig(1);
                Peer viewer = rig.viewer()) {
            rig.process.drain();
            viewer.send(Rig.setUp(1));
            Box.Came set = rig.boxes.get(0).serve();
            assertEquals(MessageType.ANM, viewer.next().type());
            set.peer().send(Message.release(1, Cause.NORMAL));
            assertEquals(Cause.NORMAL, viewer.next().cause(), "it plays to its end");
            rig.process.await();
        }
    }
}
