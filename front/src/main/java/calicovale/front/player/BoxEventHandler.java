package calicovale.front.player;

import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ServerList;
import calicovale.front.box.BoxClient;
import calicovale.front.settings.FrontSettings;
import calicovale.host.Backoff;
import calicovale.host.ControllerHost;
import calicovale.host.Counters;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.net.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the clients of boxes, and applies events from boxes and lists from the directory to the sessions that play
 * there.
 */
final class BoxEventHandler implements BoxClient.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(BoxEventHandler.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final RandomGenerator random;
    private final HttpClient client;
    private final Counters counters;
    private final SessionRegistry registry;
    private final String incarnation;
    private final Map<Long, BoxClient> boxClients = new TreeMap<>();
    private ControllerHost host;
    private ProgrammeChanges programmeChanges;
    private SessionPlacer placer;

    BoxEventHandler(
            EventLoop loop,
            FrontSettings settings,
            RandomGenerator random,
            HttpClient client,
            Counters counters,
            SessionRegistry registry,
            String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
        this.client = client;
        this.counters = counters;
        this.registry = registry;
        this.incarnation = incarnation;
    }

    /** Sets the objects that are constructed after this one because they refer to it. */
    void setCollaborators(ControllerHost controllerHost, ProgrammeChanges changes, SessionPlacer sessionPlacer) {
        host = controllerHost;
        programmeChanges = changes;
        placer = sessionPlacer;
    }

    /** Returns the client of a box; null if no list has contained it. */
    BoxClient box(long boxNumber) {
        return boxClients.get(boxNumber);
    }

    @Override
    public void onNote(BoxClient box, String requestId, String kind, double value) {
        NoteKind noteKind =
                switch (kind) {
                    case "share" -> NoteKind.DELIVERED_SHARE;
                    case "link" -> NoteKind.LINK_USE;
                    case "uplink" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        if (noteKind == null || !(value >= 0) || Double.isInfinite(value)) {
            counters.increment("box-events-malformed");
            return;
        }
        Session session = registry.byRequestId.get(requestId);
        host.raise(new Note(requestId, session == null ? 0 : session.attempt, box.id(), noteKind, value));
    }

    @Override
    public void onEnded(BoxClient box, String attemptKey, String reason, Map<String, Double> load) {
        int dot = attemptKey.lastIndexOf('.');
        Session session = dot < 0 ? null : registry.byRequestId.get(attemptKey.substring(0, dot));
        if (session == null
                || session.state != Session.State.PLAYING
                || !session.attemptKey().equals(attemptKey)) {
            return;
        }
        counters.increment("sessions-ended");
        LOG.atInfo().addKeyValue("session", session.requestId).log("session ended at box {}: {}", box.id(), reason);
        placer.leaveBox(session, Outcome.OK, load);
        if (!session.forPiece) {
            session.state = Session.State.ENDED;
        }
    }

    @Override
    public void onServed(BoxClient box, String attemptKey, String path) {
        int dot = attemptKey.lastIndexOf('.');
        Session session = dot < 0 ? null : registry.byRequestId.get(attemptKey.substring(0, dot));
        if (session != null
                && session.state == Session.State.PLAYING
                && session.attemptKey().equals(attemptKey)) {
            (session.lectureSession != null ? session.lectureSession : session)
                    .playlist.onSegmentServed(session.baseUri + path);
        }
    }

    @Override
    public void onHeld(BoxClient box, Set<String> attemptKeys, double requestedAtMs) {
        for (Session session : new ArrayList<>(registry.playingByBox.getOrDefault(box, Set.of()))) {
            if (!attemptKeys.contains(session.attemptKey()) && session.startedAtMs < requestedAtMs) {
                placer.loseSession(session, "the box no longer holds the session");
            }
        }
    }

    @Override
    public void onLost(BoxClient box, String reason) {
        programmeChanges.onBoxLost(box);
        for (Session session : new ArrayList<>(registry.playingByBox.getOrDefault(box, Set.of()))) {
            placer.loseSession(session, reason);
        }
    }

    /** Applies a list of boxes; the addresses first, so that a set-up that the controller decides on finds its box. */
    void onList(ServerList list, Map<Long, InetSocketAddress> addresses) {
        addresses.forEach((id, address) -> {
            BoxClient box = boxClients.get(id);
            if (box == null) {
                boxClients.put(
                        id,
                        new BoxClient(
                                id,
                                address,
                                loop,
                                client,
                                settings.times(),
                                new Backoff(
                                        settings.times().backoffMs(),
                                        settings.times().backoffMostMs(),
                                        random),
                                settings.controller().self() + "." + incarnation,
                                counters,
                                this));
            } else {
                box.address(address);
            }
        });
        host.raise(list);
    }
}
