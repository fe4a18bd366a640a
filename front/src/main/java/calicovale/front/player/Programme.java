package calicovale.front.player;

import calicovale.ControllerApi.SessionClass;
import calicovale.front.box.BoxLink;
import calicovale.front.ledger.LedgerDesk;
import calicovale.front.playlist.Piece;
import calicovale.front.playlist.Source;
import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Holders;
import calicovale.host.Counters;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.Change;
import calicovale.stitch.ChangeBook;
import calicovale.stitch.SessionLedger.Showing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns which programme changes the sessions of this manager show: what may yet come for each, from where its piece is had,
 * and that a showing is on disk before a player is given it. What is chosen at a boundary the {@link ChangeBook} decides; a
 * piece that the session's box lacks is set up at a holder by the controller, like any session.
 */
final class Programme {
    private static final Logger LOG = LoggerFactory.getLogger(Programme.class);
    /** A piece is looked for so many segments before the boundary at which it is due. */
    private static final int LEAD_SEGMENTS = 3;
    /** For this long after a showing its cookie goes with every reload, in ms: one answer may be lost. */
    private static final double COOKIE_MS = 30_000;

    /** What of sessions and set-ups it needs. */
    interface Sessions {
        /** All sessions, for a pass over them. */
        Collection<Viewing> all();

        /** Asks for a set-up of a piece beside a session; {@code changed} runs whenever its state is another. */
        Viewing place(Viewing beside, String title, Holders holders, Runnable changed);

        /** Ends the set-up of a piece. */
        void release(Viewing piece);

        /** Tells controller and box at which rung of the ladder a session takes its box's link from now on. */
        void takes(Viewing v, int rung);
    }

    /** What of the programme concerns one session. */
    static final class Part {
        private long version = -1;
        private List<Change> candidates = List.of();
        /** Changes that this session was told of in the log as waiting or left out. */
        private Set<String> told = Set.of();
        /** The boundary that is passed without what was waited for. */
        private int passed = -1;
        /** A change whose showing is noted, and whether that is on disk. */
        private String begun;

        private boolean begunKept;
        private Map<String, Viewing> homes = Map.of();
        private Map<String, Double> askedAt = Map.of();
        private List<Runnable> waiting = List.of();
        private List<Showing> showings = List.of();
        private double cookieUntilMs;
        private int takes = -1;
        private boolean tallied;
    }

    /** How often a change was planned for, shown to, and left out of sessions of this manager. */
    static final class Tally {
        long shown;
        long waited;
        long leftOut;
        long cut;
    }

    private final EventLoop loop;
    private final FrontSettings settings;
    private final ChangeBook book;
    private final SourceCache sources;
    private final PieceHolders holders;
    private final LedgerDesk ledger;
    private final DoubleSupplier commonMs;
    private final Counters counters;
    private final Sessions sessions;
    private final ShownCookie cookie;
    private final Map<String, Tally> tallies = new HashMap<>();
    private long passOf = -1;
    private long passDone = -1;
    private double passMs;
    private double passBeganMs;

    /** {@code commonMs} is the common time. */
    Programme(
            EventLoop loop,
            FrontSettings settings,
            ChangeBook book,
            SourceCache sources,
            LedgerDesk ledger,
            DoubleSupplier commonMs,
            Counters counters,
            Sessions sessions) {
        this.loop = loop;
        this.settings = settings;
        this.book = book;
        this.sources = sources;
        this.holders = new PieceHolders(
                loop, sources, settings.bounds().sources(), settings.times().holders(), counters);
        this.ledger = ledger;
        this.commonMs = commonMs;
        this.counters = counters;
        this.sessions = sessions;
        this.cookie = settings.viewerKey() == null ? null : new ShownCookie(settings.viewerKey());
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private double common(double monotonicMs) {
        return commonMs.getAsDouble() + monotonicMs - nowMs();
    }

    Tally tally(String change) {
        return tallies.computeIfAbsent(change, id -> new Tally());
    }

    // --- What may come ---

    private ChangeBook.Facts facts(Viewing v, int rung) {
        SessionClass k = settings.controller().classes().get(v.sessionClass);
        String tenant =
                settings.tenantNames().isEmpty() ? "" : settings.tenantNames().get(v.tenant);
        return new ChangeBook.Facts(
                v.token,
                v.viewer,
                v.title,
                settings.classNames().get(v.sessionClass),
                tenant,
                k.lowestRung(),
                settings.controller().media().rungKb().get(rung) * k.scale(),
                k.scale(),
                v.returning);
    }

    private void plan(Viewing v) {
        Part part = v.part;
        if (part.version == book.version()) {
            return;
        }
        for (Showing s : part.showings) {
            // what the viewer was shown elsewhere, of a change that this manager may just have been told
            if (book.get(s.change()) != null) {
                book.remember(s.change(), s.name());
            }
        }
        part.version = book.version();
        part.candidates = book.candidates(facts(v, v.rung));
    }

    /** A change was told, withdrawn or is over: every session is looked at, a bounded number in each turn of the loop. */
    void changed() {
        tallies.keySet().removeIf(id -> book.get(id) == null);
        if (passOf == book.version()) {
            return;
        }
        boolean under = passOf > passDone;
        passOf = book.version();
        if (!under) {
            passBeganMs = nowMs();
            pass(List.copyOf(sessions.all()).iterator(), passOf);
        }
    }

    private void pass(Iterator<Viewing> rest, long of) {
        for (int n = 0; n < settings.bounds().plansPerTurn() && rest.hasNext(); n++) {
            Viewing v = rest.next();
            if (v.state == Viewing.State.PLAYING && !v.ofPiece) {
                plan(v);
                prepare(v);
            }
        }
        if (rest.hasNext()) {
            loop.schedule(0, () -> pass(rest, of));
        } else if (of < passOf) {
            // another change came meanwhile
            pass(List.copyOf(sessions.all()).iterator(), passOf);
        } else {
            passDone = of;
            passMs = nowMs() - passBeganMs;
            counters.increment("changes-passes");
        }
    }

    /** The book's version for which every session has been looked at; -1: none. */
    long planned() {
        return passDone;
    }

    /** How long the last pass over all sessions took, in ms. */
    double passMs() {
        return passMs;
    }

    /** Looks ahead for pieces that are due soon, so that their box is known, or one set up, when they are. */
    private void prepare(Viewing v) {
        if (v.source == null || v.part.candidates.isEmpty()) {
            return;
        }
        double leadMs = 1000.0 * LEAD_SEGMENTS * v.source.targetS();
        double endMs = common(Math.max(nowMs(), v.playlist.endMs()));
        double placeS = v.source.startS(Math.min(v.playlist.nextSegment(), v.source.count()));
        ChangeBook.Facts facts = facts(v, v.rung);
        for (Change c : v.part.candidates) {
            boolean soon = c.atMs() >= 0 ? c.atMs() <= endMs + leadMs : c.lectureS() <= placeS + leadMs / 1000;
            Change.Rendition r = soon && c.validUntilMs() >= endMs ? ChangeBook.rendition(c, facts) : null;
            if (r != null
                    && v.state == Viewing.State.PLAYING
                    && home(v, c) == null
                    && holders.state(v.box, c.title(), r.rung()) == PieceHolders.State.LACKS) {
                setUp(v, c);
            }
        }
    }

    // --- At a boundary ---

    /** Says what is put between the segments of a session's lecture. */
    Piece.Stitcher stitcher(Viewing v) {
        if (book.isEmpty() && v.part.begun == null && !v.playlist.planned()) {
            return Piece.Stitcher.NONE;
        }
        return new Piece.Stitcher() {
            @Override
            public Piece before(int segment, double boundaryS, double boundaryMs) {
                return Programme.this.before(v, segment, boundaryS, common(boundaryMs));
            }

            @Override
            public Piece again(Piece piece) {
                return Programme.this.again(v, piece);
            }

            @Override
            public Piece onward(Piece piece) {
                return Programme.this.onward(v, piece);
            }
        };
    }

    private Piece before(Viewing v, int segment, double placeS, double atMs) {
        Part part = v.part;
        plan(v);
        if (part.passed == segment || part.candidates.isEmpty() && part.begun == null) {
            return null;
        }
        if (part.begun != null) {
            return part.begunKept ? begin(v, segment) : Piece.WAIT;
        }
        while (true) {
            ChangeBook.Facts facts = facts(v, v.rung);
            ChangeBook.Decision decision = book.at(part.candidates, facts, placeS, atMs);
            for (String id : decision.withoutRendition()) {
                tell(v, id, "changes-without-rendition", "change {} waits: no rendition keeps the floor and fits");
            }
            if (decision.choice() == null) {
                return null;
            }
            Change c = decision.choice().change();
            Piece piece = piece(v, c, segment);
            if (piece == Piece.WAIT) {
                return piece;
            }
            if (piece == null) {
                counters.increment("changes-put-off");
                part.passed = segment;
                return null;
            }
            if (!suits(v, piece)) {
                tell(
                        v,
                        c.id(),
                        "changes-left-out",
                        "change {} is left out: its segments don't suit the lecture's playlist");
                part.candidates = part.candidates.stream().filter(x -> x != c).toList();
                continue;
            }
            if (!book.canShow()) {
                counters.increment("bound-shown-hit");
                return null;
            }
            note(v, c, facts);
            if (ledger.on()) {
                return Piece.WAIT;
            }
            return begin(v, segment);
        }
    }

    /** The showing is noted before it is given: after a kill in between it counts as shown. */
    private void note(Viewing v, Change c, ChangeBook.Facts facts) {
        Part part = v.part;
        part.begun = c.id();
        part.begunKept = !ledger.on();
        List<String> names = book.shown(c, facts);
        ledger.shown(c.id(), names);
        part.showings = new ArrayList<>(part.showings);
        names.stream()
                .filter(name -> !name.startsWith("s "))
                .forEach(name -> part.showings.add(new Showing(c.id(), name)));
        if (ledger.on()) {
            ledger.whenKept(() -> {
                if (c.id().equals(part.begun)) {
                    part.begunKept = true;
                    ready(v);
                }
            });
        }
    }

    private Piece begin(Viewing v, int segment) {
        Part part = v.part;
        Change c = book.get(part.begun);
        if (c == null) {
            // withdrawn while its showing went to the disk
            part.begun = null;
            return null;
        }
        Piece piece = piece(v, c, segment);
        if (piece == null || piece == Piece.WAIT || !suits(v, piece)) {
            part.passed = segment;
            return null;
        }
        part.begun = null;
        part.candidates = part.candidates.stream().filter(x -> x != c).toList();
        part.cookieUntilMs = nowMs() + COOKIE_MS;
        counters.increment("changes-shown");
        tally(c.id()).shown++;
        LOG.atInfo()
                .addKeyValue("session", v.id)
                .log("change {} before segment {}, rendition {}", c.id(), segment, piece.rung());
        return piece;
    }

    private void tell(Viewing v, String change, String counter, String text) {
        if (!v.part.told.contains(change)) {
            v.part.told = new HashSet<>(v.part.told);
            v.part.told.add(change);
            counters.increment(counter);
            Tally tally = tally(change);
            if (counter.equals("changes-left-out")) {
                tally.leftOut++;
            } else {
                tally.waited++;
            }
            LOG.atInfo().addKeyValue("session", v.id).log(text, change);
        }
    }

    /** Whether a playlist can show a piece beside its lecture without altering what it told before. */
    private boolean suits(Viewing v, Piece piece) {
        // the target duration may not change (RFC 8216, 6.2.1), and an EXT-X-MAP can't be taken back (4.3.2.5)
        return piece.interstitial()
                || piece.source().targetS() <= v.playlist.targetS()
                        && piece.source().hasMap() == v.source.hasMap();
    }

    /** A change's piece from where it is to be had; WAIT: a box is being asked; null: it is not to be had yet. */
    private Piece piece(Viewing v, Change c, int segment) {
        Viewing home = home(v, c);
        Change.Rendition r = ChangeBook.rendition(c, facts(v, home != null ? home.rung : v.rung));
        if (r == null) {
            return null;
        }
        BoxLink box = home != null ? home.box : v.box;
        switch (holders.state(box, c.title(), r.rung())) {
            case ASKING -> {
                holders.whenKnown(box, c.title(), r.rung(), () -> ready(v));
                return Piece.WAIT;
            }
            case LACKS, FAILED -> {
                // what is due soon is set up at a holder by prepare()
                return null;
            }
            default -> {}
        }
        Source source = sources.get(c.title(), r.rung());
        int to = c.replaceS() > 0
                ? Math.max(segment + 1, v.source.boundaryAt(v.source.startS(segment) + c.replaceS()))
                : segment;
        String asset = v.interstitials ? "/s/" + v.token + "/pieces/" + c.id() + ".m3u8" : null;
        return new Piece(c.id(), r.rung(), base(v, home, c, r), source, segment, to, asset);
    }

    /** Where a rendition's segments are: in a set-up of its own the piece is the title, else it lies below the lecture's. */
    private static String base(Viewing v, Viewing home, Change c, Change.Rendition r) {
        return home != null ? home.base + r.rung() + "/" : v.base + "p/" + c.title() + "/" + r.rung() + "/";
    }

    /** A piece that was listed and not played: from where it is had now, unless it was withdrawn. */
    private Piece again(Viewing v, Piece piece) {
        Change c = book.get(piece.id());
        Piece now = c == null ? null : piece(v, c, piece.from());
        if (now == Piece.WAIT && v.part.passed != piece.from()) {
            return now;
        }
        if (now == null
                || now == Piece.WAIT
                || now.source().count() != piece.source().count()) {
            counters.increment("changes-cut");
            tally(piece.id()).cut++;
            return null;
        }
        // what the piece replaces was settled when it was first shown
        return new Piece(now.id(), now.rung(), now.base(), now.source(), piece.from(), piece.to(), piece.asset());
    }

    private Piece onward(Viewing v, Piece piece) {
        Change c = book.get(piece.id());
        Viewing home = c == null ? null : home(v, c);
        if (c == null || home == null && v.part.homes.containsKey(piece.id())) {
            return piece;
        }
        Change.Rendition r = ChangeBook.onward(c, facts(v, home != null ? home.rung : v.rung));
        if (r == null || r.rung() == piece.rung()) {
            return piece;
        }
        Source source = sources.get(c.title(), r.rung());
        if (source == null || source.count() != piece.source().count()) {
            // at the next segment it may be here
            holders.state(home != null ? home.box : v.box, c.title(), r.rung());
            return piece;
        }
        return new Piece(piece.id(), r.rung(), base(v, home, c, r), source, piece.from(), piece.to(), piece.asset());
    }

    // --- Pieces from other boxes ---

    private Viewing home(Viewing v, Change c) {
        Viewing home = v.part.homes.get(c.id());
        return home != null && home.state == Viewing.State.PLAYING ? home : null;
    }

    private void setUp(Viewing v, Change c) {
        Part part = v.part;
        Double asked = part.askedAt.get(c.id());
        Viewing present = part.homes.get(c.id());
        boolean under = present != null && present.state == Viewing.State.PLACING;
        if (under || asked != null && nowMs() - asked < settings.times().backoffMost()) {
            return;
        }
        part.askedAt = new HashMap<>(part.askedAt);
        part.askedAt.put(c.id(), nowMs());
        Holders at = c.homeCell() >= 0
                ? new Holders(c.homeCell(), c.span())
                : settings.titles().getOrDefault(c.title(), new Holders(0, Integer.MAX_VALUE));
        Viewing[] home = new Viewing[1];
        home[0] = sessions.place(v, c.title(), at, () -> homeChanged(v, c.id(), home[0]));
        if (home[0] != null) {
            counters.increment("piece-set-ups");
            part.homes = new HashMap<>(part.homes);
            part.homes.put(c.id(), home[0]);
        }
    }

    private void homeChanged(Viewing v, String change, Viewing home) {
        if (home == null || v.part.homes.get(change) != home) {
            return;
        }
        if (home.state == Viewing.State.PLAYING) {
            ready(v);
        } else if (home.state != Viewing.State.PLACING) {
            boolean shows = home.startedAtMs > 0 && v.state == Viewing.State.PLAYING && v.playlist.shows(change);
            v.part.homes.remove(change);
            if (shows) {
                // its box is gone or has ended it: what is left of it is left out, the lecture goes on from there
                counters.increment("pieces-lost");
                v.playlist.leaveOut(v.source, change, nowMs());
            }
        }
    }

    /** After a playlist was extended: pieces that were played are let go, and what the session takes is told. */
    void extended(Viewing v) {
        Part part = v.part;
        if (!part.homes.isEmpty()) {
            for (Map.Entry<String, Viewing> e : new ArrayList<>(part.homes.entrySet())) {
                boolean waits = part.candidates.stream().anyMatch(c -> c.id().equals(e.getKey()))
                        || e.getKey().equals(part.begun);
                if (!waits && !v.playlist.shows(e.getKey())) {
                    part.homes.remove(e.getKey());
                    sessions.release(e.getValue());
                }
            }
        }
        Piece last = v.playlist.last();
        int takes = last == null || part.homes.containsKey(last.id()) ? v.rung : rungOf(v, last);
        if (takes != (part.takes < 0 ? v.rung : part.takes)) {
            part.takes = takes == v.rung ? -1 : takes;
            sessions.takes(v, takes);
        }
        prepare(v);
    }

    /** The ladder's lowest rung from the class's floor on that takes at least what a piece's rendition does. */
    private int rungOf(Viewing v, Piece piece) {
        Change c = book.get(piece.id());
        if (c == null) {
            return v.part.takes < 0 ? v.rung : v.part.takes;
        }
        double rate = c.renditions().stream()
                .filter(r -> r.rung() == piece.rung())
                .mapToDouble(Change.Rendition::rateKb)
                .sum();
        int rung = settings.controller().classes().get(v.sessionClass).lowestRung();
        while (rung < v.rung && settings.controller().media().rungKb().get(rung) < rate - 1e-9) {
            rung++;
        }
        return rung;
    }

    /** The session has no box any more, or the controller set its rung: what was told of its rate is void. */
    void takesAnew(Viewing v) {
        v.part.takes = -1;
    }

    /** A session is over here: what was set up for it is let go. */
    void over(Viewing v) {
        List<Viewing> all = List.copyOf(v.part.homes.values());
        v.part.homes = Map.of();
        all.forEach(sessions::release);
    }

    /** A box was lost. */
    void lost(BoxLink box) {
        holders.lost(box);
    }

    // --- Waiting ---

    /** Calls {@code body} once what a session's playlist waits for has come, or its time is up: the boundary is passed then. */
    void whenReady(Viewing v, Runnable body) {
        Part part = v.part;
        boolean[] ran = new boolean[1];
        Runnable once = () -> {
            if (!ran[0]) {
                ran[0] = true;
                body.run();
            }
        };
        part.waiting = new ArrayList<>(part.waiting);
        part.waiting.add(once);
        loop.schedule(settings.times().stitchWait(), () -> {
            if (!ran[0]) {
                counters.increment("changes-waits-over");
                part.passed = v.playlist.nextSegment();
                once.run();
            }
        });
    }

    private void ready(Viewing v) {
        List<Runnable> all = v.part.waiting;
        v.part.waiting = List.of();
        all.forEach(Runnable::run);
    }

    // --- What the viewer carries ---

    /** Takes what a viewer's cookies say. */
    void cookies(Viewing v, List<String> headers) {
        if (cookie == null || headers.isEmpty() || v.viewer.isEmpty()) {
            return;
        }
        List<Showing> showings = cookie.read(v.viewer, headers);
        if (showings == null) {
            counters.increment("cookies-refused");
        } else {
            v.part.showings = showings;
        }
    }

    /** The cookie to go with an answer; null: none. */
    String cookie(Viewing v) {
        return cookie == null || v.viewer.isEmpty() || v.part.showings.isEmpty() || nowMs() > v.part.cookieUntilMs
                ? null
                : cookie.set(v.viewer, v.part.showings);
    }
}
