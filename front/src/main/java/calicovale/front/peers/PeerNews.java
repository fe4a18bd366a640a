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
 * Owns this manager's place in the group: what the controller is told of boxes is what the group hears as claims, and what the
 * group agrees on the controller is told as one symptom more.
 */
public final class PeerNews implements AutoCloseable {
    private final FrontSettings settings;
    private final GossipNode node;

    /** Reads keys; no socket is open yet. */
    public PeerNews(EventLoop loop, FrontSettings settings, RandomGenerator random, ControllerHost host)
            throws InvalidDocumentException {
        this.settings = settings;
        node = new GossipNode(
                loop,
                settings.gossip(),
                random,
                settings.bounds().boxes(),
                (box, strength) -> host.raise(new Suspected(box, strength)));
        host.setEventListener(this::saw);
    }

    /** Joins; the address bound. */
    public InetSocketAddress start() throws IOException {
        return node.start();
    }

    private void saw(Event event) {
        if (event instanceof Started e) {
            node.saw(e.server(), null);
        } else if (event instanceof AttemptEnded e) {
            Claim.Kind kind =
                    switch (e.outcome()) {
                        case TIMEOUT -> Claim.Kind.TIMEOUT;
                        case RESET -> Claim.Kind.RESET;
                        case ERROR, CONNECT_FAILED -> Claim.Kind.FAILED;
                        // a box that is full, or a viewer who left, is no trouble of the box
                        case OK, FULL, CANCELLED, MOOT -> null;
                    };
            if (kind != null) {
                node.saw(e.server(), kind);
            }
        } else if (event instanceof Note e
                && e.kind() == NoteKind.DELIVERED_SHARE
                && e.value() < settings.gossip().claims().shortShare()) {
            node.saw(e.server(), Claim.Kind.SHORT);
        }
    }

    /** The member; to be touched on the loop only. */
    public GossipNode node() {
        return node;
    }

    /** This manager's view of the group. */
    public ObjectNode view() {
        return node.view();
    }

    /** Counters, each with what leads the names of this part. */
    public Map<String, Long> counters() {
        Map<String, Long> result = new TreeMap<>();
        node.counters().forEach((name, count) -> result.put("gossip-" + name, count));
        return result;
    }

    /** Leaves the group on purpose. */
    public void leave() {
        node.leave();
    }

    @Override
    public void close() {
        node.close();
    }
}
