package calicovale.front.player;

import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.ServerList;
import calicovale.front.box.BoxLink;
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

/** Owns the links to boxes, and what their news and the directory's mean for the sessions that play there. */
final class BoxNews implements BoxLink.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(BoxNews.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final RandomGenerator random;
    private final HttpClient client;
    private final Counters counters;
    private final SessionTable table;
    private final String incarnation;
    private final Map<Long, BoxLink> boxes = new TreeMap<>();
    private ControllerHost host;
    private Programme programme;
    private SetUps setUps;

    BoxNews(
            EventLoop loop,
            FrontSettings settings,
            RandomGenerator random,
            HttpClient client,
            Counters counters,
            SessionTable table,
            String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
        this.client = client;
        this.counters = counters;
        this.table = table;
        this.incarnation = incarnation;
    }

    /** Those that it works with and that know it. */
    void with(ControllerHost ofController, Programme ofChanges, SetUps ofSessions) {
        host = ofController;
        programme = ofChanges;
        setUps = ofSessions;
    }

    /** The link to a box, or null. */
    BoxLink box(long number) {
        return boxes.get(number);
    }

    @Override
    public void onNote(BoxLink box, String session, String kind, double value) {
        NoteKind what =
                switch (kind) {
                    case "share" -> NoteKind.DELIVERED_SHARE;
                    case "link" -> NoteKind.LINK_USE;
                    case "uplink" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        if (what == null || !(value >= 0) || Double.isInfinite(value)) {
            counters.increment("box-events-malformed");
            return;
        }
        Viewing v = table.byId.get(session);
        host.raise(new Note(session, v == null ? 0 : v.attempt, box.id(), what, value));
    }

    @Override
    public void onEnded(BoxLink box, String key, String reason, Map<String, Double> load) {
        int dot = key.lastIndexOf('.');
        Viewing v = dot < 0 ? null : table.byId.get(key.substring(0, dot));
        if (v == null || v.state != Viewing.State.PLAYING || !v.key().equals(key)) {
            return;
        }
        counters.increment("sessions-ended");
        LOG.atInfo().addKeyValue("session", v.id).log("ended at box {}: {}", box.id(), reason);
        setUps.leave(v, Outcome.OK, load);
        if (!v.ofPiece) {
            v.state = Viewing.State.ENDED;
        }
    }

    @Override
    public void onServed(BoxLink box, String key, String path) {
        int dot = key.lastIndexOf('.');
        Viewing v = dot < 0 ? null : table.byId.get(key.substring(0, dot));
        if (v != null && v.state == Viewing.State.PLAYING && v.key().equals(key)) {
            (v.beside != null ? v.beside : v).playlist.served(v.base + path);
        }
    }

    @Override
    public void onHeld(BoxLink box, Set<String> keys, double askedAtMs) {
        for (Viewing v : new ArrayList<>(table.playingAt.getOrDefault(box, Set.of()))) {
            if (!keys.contains(v.key()) && v.startedAtMs < askedAtMs) {
                setUps.lose(v, "the box does not hold it any more");
            }
        }
    }

    @Override
    public void onLost(BoxLink box, String why) {
        programme.lost(box);
        for (Viewing v : new ArrayList<>(table.playingAt.getOrDefault(box, Set.of()))) {
            setUps.lose(v, why);
        }
    }

    /** Takes news of the list: the addresses first, so that a set-up decided on it finds its box. */
    void onList(ServerList list, Map<Long, InetSocketAddress> addresses) {
        addresses.forEach((id, address) -> {
            BoxLink box = boxes.get(id);
            if (box == null) {
                boxes.put(
                        id,
                        new BoxLink(
                                id,
                                address,
                                loop,
                                client,
                                settings.times(),
                                new Backoff(
                                        settings.times().backoff(),
                                        settings.times().backoffMost(),
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
