package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.manager.ManagerHarness.FakeServer;
import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that releases survive each way in which the connection that should carry them ends. */
@Timeout(60)
class LinkEndTest {
    /** Time, in ms, after which an attempt on a link without an answer has timed out. */
    private static final double ATTEMPT_TIMEOUT_MS = 2000;
    /** Time, in ms, after which an idle link beyond those that are kept is closed. */
    private static final double SPARE_IDLE_MS = 3100;
    /** Step of the clock, in ms. */
    private static final int STEP_MS = 100;
    /** Time, in ms, within which the server is connected to again. */
    private static final int RECONNECT_BOUND_MS = 2000;

    /** The ways in which one of two links to a server ends while a release on it is lost. */
    enum LinkEnd {
        RESET,
        NO_ANSWER,
        MALFORMED_MESSAGE
    }

    /** Starts a manager that takes a server without messages for silent after 4.5 s. */
    private static ManagerHarness newHarness() throws Exception {
        return new ManagerHarness(1, 256, config -> config.replace("\"tellMs\":600", "\"tellMs\":3250"));
    }

    /** Advances the clock and waits until the server and the manager agree on which links are open. */
    private static void step(ManagerHarness harness) throws InterruptedException {
        harness.clock.advance(STEP_MS);
        for (int turn = 0; turn < 2; turn++) {
            harness.process.loop().call(() -> null);
        }
        harness.waitUntil(() -> harness.servers.get(0).openPeers().size()
                == harness.process.counts().get("links.servers"));
    }

    private static Message answer(long id) {
        return Message.of(MessageType.ANM, id).with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION);
    }

    /** Sets up sessions 1 to {@code count}, each on a link of its own, and returns the server's ends of the links. */
    private static Peer[] playOnOneLinkEach(ManagerHarness harness, Peer viewer, int count) throws Exception {
        FakeServer server = harness.servers.get(0);
        Peer[] links = new Peer[count];
        for (int id = 1; id <= count; id++) {
            viewer.send(ManagerHarness.setUp(id));
        }
        for (int i = 0; i < count; i++) {
            FakeServer.Received setUp = server.next();
            links[(int) setUp.message().sessionId() - 1] = setUp.peer();
        }
        for (int id = 1; id <= count; id++) {
            links[id - 1].send(answer(id));
            assertEquals(id, viewer.next(MessageType.ANM).sessionId());
        }
        return links;
    }

    /** Ends the link and stops the clock. */
    private static void end(ManagerHarness harness, Peer viewer, Peer link, LinkEnd linkEnd) throws Exception {
        switch (linkEnd) {
            case RESET -> {
                harness.clock.stop();
                link.reset();
            }
            case MALFORMED_MESSAGE -> {
                harness.clock.stop();
                link.sendBytes((byte) 0, (byte) 1, (byte) 0);
            }
            default -> {
                FakeServer server = harness.servers.get(0);
                Peer usedLink = null;
                // a set-up may take either link; the other one is kept alive by an answer
                for (long id = 10; usedLink != link; id++) {
                    viewer.send(ManagerHarness.setUp(id));
                    FakeServer.Received setUp = server.next();
                    usedLink = setUp.peer();
                    if (usedLink != link) {
                        usedLink.send(answer(id));
                        viewer.next(MessageType.ANM);
                    }
                }
                harness.clock.stop();
                harness.clock.advance(ATTEMPT_TIMEOUT_MS);
                harness.awaitCount("server.link-silent", 1);
            }
        }
    }

    /** Guards against a release that is lost with its link and never passed on, because another link stands. */
    @ParameterizedTest
    @EnumSource(LinkEnd.class)
    void aReleaseLostWithOneOfTwoLinksArrives(LinkEnd linkEnd) throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            Peer[] links = playOnOneLinkEach(harness, viewer, 2);
            harness.servers.get(0).endSessionOnNextConnection(1);
            end(harness, viewer, links[0], linkEnd);
            for (int ms = 0; ms < RECONNECT_BOUND_MS; ms += STEP_MS) {
                // the server is not silent, so that only the end of the link makes the manager connect again
                links[1].send(Message.of(MessageType.CPG, 2));
                step(harness);
            }
            Message release;
            do {
                release = viewer.next(MessageType.REL);
            } while (release.cause() != Cause.NORMAL);
            assertEquals(1, release.sessionId());
        }
    }

    /** Guards against a release that crosses the close of a link which the manager does not need any more. */
    @Test
    void aReleaseThatCrossesTheCloseOfASpareLinkArrives() throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            playOnOneLinkEach(harness, viewer, 3);
            harness.clock.stop();
            harness.servers.get(0).releasesAtEndOfInput.add(Message.release(1, Cause.NORMAL));
            harness.clock.advance(SPARE_IDLE_MS);
            assertEquals(1, viewer.next(MessageType.REL).sessionId());
        }
    }

    /** Guards against a release to a server that is lost with its link, so that the session plays on there. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReleaseToAServerIsSentAgainIfItsLinkEndsUnlessTheServerConfirmedIt(boolean confirmed) throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            FakeServer server = harness.servers.get(0);
            Peer link = playOnOneLinkEach(harness, viewer, 1)[0];
            viewer.send(Message.release(1, Cause.NORMAL));
            assertEquals(MessageType.REL, server.next().message().type());
            if (confirmed) {
                link.send(Message.of(MessageType.RLC, 1));
            }
            link.reset();
            if (confirmed) {
                harness.awaitCount("server.link-closed", 1);
                assertEquals(0, harness.process.counts().getOrDefault("server.release-again", 0L));
            } else {
                FakeServer.Received again = server.next();
                assertEquals(MessageType.REL, again.message().type());
                assertEquals(1, again.message().sessionId());
            }
        }
    }

    /** The ways in which a viewers' front's connection ends while a release on it is not read. */
    enum ViewerLinkEnd {
        RESET,
        CLOSE_THAT_CROSSES
    }

    /** Guards against a release to a viewers' front that is lost with its connection, so that it is never heard. */
    @ParameterizedTest
    @EnumSource(ViewerLinkEnd.class)
    void aReleaseToAViewerIsSentAgainIfItsConnectionEnds(ViewerLinkEnd linkEnd) throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer();
                Peer otherViewer = harness.acceptedViewer()) {
            FakeServer server = harness.servers.get(0);
            Peer link = playOnOneLinkEach(harness, viewer, 1)[0];
            otherViewer.send(ManagerHarness.setUp(2));
            server.acceptSetUp();
            otherViewer.next(MessageType.ANM);
            link.send(Message.release(1, Cause.NORMAL));
            harness.awaitCount("outcome.OK", 1);
            if (linkEnd == ViewerLinkEnd.RESET) {
                viewer.reset();
            } else {
                viewer.halfClose();
            }
            assertEquals(1, otherViewer.next(MessageType.REL).sessionId());
        }
    }

    /** Guards against releases that are repeated although the front has confirmed them. */
    @Test
    void aConfirmedReleaseToAViewerIsNotSentAgain() throws Exception {
        try (ManagerHarness harness = newHarness();
                Peer viewer = harness.acceptedViewer()) {
            Peer link = playOnOneLinkEach(harness, viewer, 1)[0];
            link.send(Message.release(1, Cause.NORMAL));
            assertEquals(1, viewer.next(MessageType.REL).sessionId());
            viewer.send(Message.of(MessageType.RLC, 1));
            harness.awaitCount("viewer.heard", 1);
            viewer.reset();
            harness.waitUntil(() -> harness.process.counts().get("links.viewers") == 0);
            assertEquals(0, harness.process.counts().getOrDefault("viewer.release-again", 0L));
        }
    }
}
