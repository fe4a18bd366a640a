package calicovale.front.peers;

import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Event;
import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Started;
import calicovale.ControllerApi.Suspected;
import calicovale.front.settings.FrontSettings;
import calicovale.gossip.claims.Claim;
import calicovale.gossip.net.GossipNode;
import calicovale.host.ControllerHost;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * This manager's membership of a gossip group. It reports the controller's events about boxes to the group as claims,
 * and raises boxes that the group suspects as events of the controller.
 */
public final class PeerGossip implements AutoCloseable {
    private final FrontSettings settings;
    private final GossipNode node;

    /**
     * Creates the member and reads its keys. No socket is opened before {@link #start}.
     *
     * @throws InvalidDocumentException if a file of keys is not valid
     */
    public PeerGossip(EventLoop loop, FrontSettings settings, RandomGenerator random, ControllerHost host)
            throws InvalidDocumentException {
        this.settings = settings;
        node = new GossipNode(
                loop,
                settings.gossip(),
                random,
                settings.bounds().boxes(),
                (box, strength) -> host.raise(new Suspected(box, strength)));
        host.setEventListener(this::reportEvent);
    }

    /**
     * Joins the group and returns the address that its sockets are bound to.
     *
     * @throws IOException if the sockets cannot be bound
     */
    public InetSocketAddress start() throws IOException {
        return node.start();
    }

    /** Reports an event of the controller to the group as a success of, or a claim about, its box, if it is either. */
    private void reportEvent(Event event) {
        if (event instanceof Started started) {
            node.recordOutcome(started.server(), null);
        } else if (event instanceof AttemptEnded ended) {
            Claim.Kind kind =
                    switch (ended.outcome()) {
                        case TIMEOUT -> Claim.Kind.TIMEOUT;
                        case RESET -> Claim.Kind.RESET;
                        case ERROR, CONNECT_FAILED -> Claim.Kind.FAILED;
                        // a full box or a viewer who left is no evidence against the box
                        case OK, FULL, CANCELLED, MOOT -> null;
                    };
            if (kind != null) {
                node.recordOutcome(ended.server(), kind);
            }
        } else if (event instanceof Note note
                && note.kind() == NoteKind.DELIVERED_SHARE
                && note.value() < settings.gossip().claims().shortDeliveryShare()) {
            node.recordOutcome(note.server(), Claim.Kind.SHORT);
        }
    }

    /** Returns the gossip member. Only for use on the loop's thread. */
    public GossipNode node() {
        return node;
    }

    /** Returns this manager's view of the group, as JSON. */
    public ObjectNode view() {
        return node.view();
    }

    /** Returns the member's counters, their names prefixed by {@code gossip-}. */
    public Map<String, Long> counters() {
        Map<String, Long> result = new TreeMap<>();
        node.counters().forEach((name, count) -> result.put("gossip-" + name, count));
        return result;
    }

    /** Leaves the group; the sockets stay open until {@link #close}. */
    public void leave() {
        node.leave();
    }

    @Override
    public void close() {
        node.close();
    }
}
