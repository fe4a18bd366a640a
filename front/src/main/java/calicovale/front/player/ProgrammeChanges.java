package calicovale.front.player;

import calicovale.ControllerApi.SessionClass;
import calicovale.front.box.BoxClient;
import calicovale.front.ledger.SessionLedgerWriter;
import calicovale.front.playlist.SourcePlaylist;
import calicovale.front.playlist.StitchedPiece;
import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Holders;
import calicovale.host.Counters;
import calicovale.protocols.net.EventLoop;
import calicovale.stitch.ActiveChanges;
import calicovale.stitch.Change;
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
 * Applies programme changes to this manager's sessions: keeps each session's candidate changes, finds the box that
 * serves a change's piece, and records each showing on disk before a player gets it. {@link ActiveChanges} selects the
 * change at a boundary. A piece that the session's box lacks is set up, like a session, at a box that holds it; the
 * controller chooses that box.
 */
final class ProgrammeChanges {
    private static final Logger LOG = LoggerFactory.getLogger(ProgrammeChanges.class);
    /** Number of target durations before a change is due at which its piece is looked up. */
    private static final int LEAD_SEGMENTS = 3;
    /**
     * Time in ms after a showing during which the response to every reload carries the cookie, because a response may
     * be lost.
     */
    private static final double COOKIE_RESEND_MS = 30_000;

    /** Operations on sessions and set-ups that this class needs. */
    interface SessionOperations {
        /** Returns all sessions. */
        Collection<Session> allSessions();

        /**
         * Requests the set-up of a piece beside a session; null if a limit forbids it.
         *
         * @param stateListener runs after each state change of the set-up
         */
        Session setUpPiece(Session lectureSession, String title, Holders holders, Runnable stateListener);

        /** Ends the set-up of a piece, or its pending request. */
        void releasePiece(Session piece);

        /**
         * Reports to the controller and the box a session's delivery rung: the rung whose rate the session now takes
         * from its box's link.
         */
        void reportDeliveryRung(Session session, int rung);
    }

    /** State of one session's programme changes. */
    static final class ProgrammeState {
        /** Version of the active changes from which the candidates were computed. */
        private long candidatesVersion = -1;
        /** Changes that may still be shown in this session. */
        private List<Change> candidates = List.of();
        /** Ids of changes already logged for this session as waiting or left out. */
        private Set<String> reportedChangeIds = Set.of();
        /** Segment before which no piece is put, because the one due there was not available in time; -1 if none. */
        private int skippedBoundary = -1;
        /** Id of a change whose showing is recorded but not begun; null if none. */
        private String recordedChangeId;
        /** Whether that record is on disk. */
        private boolean recordedChangeDurable;
        /** Set-ups of pieces at other boxes, by change id. */
        private Map<String, Session> pieceSetUps = Map.of();
        /** Monotonic time of the last set-up request, in ms, by change id. */
        private Map<String, Double> setUpRequestedAtMs = Map.of();
        /** Callbacks of reloads that wait for a piece or the disk. */
        private List<Runnable> waitingCallbacks = List.of();
        /** Showings that the viewer's cookie carries. */
        private List<Showing> showings = List.of();
        /** Monotonic time until which responses carry the cookie, in ms. */
        private double cookieUntilMs;
        /**
         * Delivery rung last reported to the controller and the box: the rung whose rate the session takes from its
         * box's link while a piece plays; -1 if it is the session's own rung.
         */
        private int reportedRung = -1;

        private boolean tallied;
    }

    /** How many sessions of this manager were shown a change, wait for it, left it out, or had it cut short. */
    static final class ChangeCounts {
        long shown;
        long waited;
        long leftOut;
        long cut;
    }

    private final EventLoop loop;
    private final FrontSettings settings;
    private final ActiveChanges activeChanges;
    private final SourcePlaylistCache sourceCache;
    private final PieceAvailability pieceAvailability;
    private final SessionLedgerWriter ledger;
    private final DoubleSupplier commonTimeMs;
    private final Counters counters;
    private final SessionOperations sessionOperations;
    private final ShownChangesCookie cookie;
    private final Map<String, ChangeCounts> countsByChange = new HashMap<>();
    private long requestedPassVersion = -1;
    private long completedPassVersion = -1;
    private double lastPassDurationMs;
    private double passStartedAtMs;

    /** Creates the handler; {@code commonTimeMs} returns the common clock's time in ms. */
    ProgrammeChanges(
            EventLoop loop,
            FrontSettings settings,
            ActiveChanges activeChanges,
            SourcePlaylistCache sourceCache,
            SessionLedgerWriter ledger,
            DoubleSupplier commonTimeMs,
            Counters counters,
            SessionOperations sessionOperations) {
        this.loop = loop;
        this.settings = settings;
        this.activeChanges = activeChanges;
        this.sourceCache = sourceCache;
        this.pieceAvailability = new PieceAvailability(
                loop, sourceCache, settings.bounds().sources(), settings.times().holdersMs(), counters);
        this.ledger = ledger;
        this.commonTimeMs = commonTimeMs;
        this.counters = counters;
        this.sessionOperations = sessionOperations;
        this.cookie = settings.viewerKey() == null ? null : new ShownChangesCookie(settings.viewerKey());
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Converts a monotonic time to the common time, both in ms. */
    private double toCommonMs(double monotonicMs) {
        return commonTimeMs.getAsDouble() + monotonicMs - nowMs();
    }

    /** Returns the counts of a change; they are created if it has none. */
    ChangeCounts changeCounts(String changeId) {
        return countsByChange.computeIfAbsent(changeId, id -> new ChangeCounts());
    }

    // --- Candidates ---

    private ActiveChanges.SessionFacts sessionFacts(Session session, int rung) {
        SessionClass sessionClass = settings.controller().classes().get(session.sessionClass);
        String tenant =
                settings.tenantNames().isEmpty() ? "" : settings.tenantNames().get(session.tenant);
        return new ActiveChanges.SessionFacts(
                session.token,
                session.viewer,
                session.title,
                settings.classNames().get(session.sessionClass),
                tenant,
                sessionClass.lowestRung(),
                settings.controller().media().rungKb().get(rung) * sessionClass.scale(),
                sessionClass.scale(),
                session.returning);
    }

    /** Recomputes a session's candidates if the active changes have changed since. */
    private void updateCandidates(Session session) {
        ProgrammeState state = session.programmeState;
        if (state.candidatesVersion == activeChanges.version()) {
            return;
        }
        for (Showing showing : state.showings) {
            // another manager showed it to the viewer; this manager may have learnt of the change only now
            if (activeChanges.get(showing.changeId()) != null) {
                activeChanges.addShowingKey(showing.changeId(), showing.key());
            }
        }
        state.candidatesVersion = activeChanges.version();
        state.candidates = activeChanges.candidates(sessionFacts(session, session.rung));
    }

    /**
     * Handles a change that was added, withdrawn or has expired: updates the candidates of all sessions, a bounded
     * number in each turn of the event loop.
     */
    void onChangesUpdated() {
        countsByChange.keySet().removeIf(id -> activeChanges.get(id) == null);
        if (requestedPassVersion == activeChanges.version()) {
            return;
        }
        boolean passRunning = requestedPassVersion > completedPassVersion;
        requestedPassVersion = activeChanges.version();
        if (!passRunning) {
            passStartedAtMs = nowMs();
            runPass(List.copyOf(sessionOperations.allSessions()).iterator(), requestedPassVersion);
        }
    }

    /** Updates the candidates of the next sessions of a pass and schedules the rest for the next turn of the loop. */
    private void runPass(Iterator<Session> remaining, long passVersion) {
        for (int count = 0; count < settings.bounds().plansPerTurn() && remaining.hasNext(); count++) {
            Session session = remaining.next();
            if (session.state == Session.State.PLAYING && !session.forPiece) {
                updateCandidates(session);
                prepareDuePieces(session);
            }
        }
        if (remaining.hasNext()) {
            loop.schedule(0, () -> runPass(remaining, passVersion));
        } else if (passVersion < requestedPassVersion) {
            // the active changes were updated during this pass
            runPass(List.copyOf(sessionOperations.allSessions()).iterator(), requestedPassVersion);
        } else {
            completedPassVersion = passVersion;
            lastPassDurationMs = nowMs() - passStartedAtMs;
            counters.increment("changes-passes");
        }
    }

    /** Returns the version of the active changes that the last complete pass covers; -1 if there was none. */
    long completedPassVersion() {
        return completedPassVersion;
    }

    /** Returns the duration of the last complete pass over all sessions, in ms. */
    double lastPassDurationMs() {
        return lastPassDurationMs;
    }

    /** Looks up the pieces that are due soon and requests set-ups for those that the session's box lacks. */
    private void prepareDuePieces(Session session) {
        if (session.lecture == null || session.programmeState.candidates.isEmpty()) {
            return;
        }
        double leadMs = 1000.0 * LEAD_SEGMENTS * session.lecture.targetS();
        double endMs = toCommonMs(Math.max(nowMs(), session.playlist.endMs()));
        double positionS =
                session.lecture.startS(Math.min(session.playlist.nextSegment(), session.lecture.segmentCount()));
        ActiveChanges.SessionFacts facts = sessionFacts(session, session.rung);
        for (Change change : session.programmeState.candidates) {
            boolean soon = change.atMs() >= 0
                    ? change.atMs() <= endMs + leadMs
                    : change.lectureS() <= positionS + leadMs / 1000;
            Change.Rendition rendition =
                    soon && change.validUntilMs() >= endMs ? ActiveChanges.selectRendition(change, facts) : null;
            if (rendition != null
                    && session.state == Session.State.PLAYING
                    && playingSetUp(session, change) == null
                    && pieceAvailability.lookUp(session.box, change.title(), rendition.rung())
                            == PieceAvailability.State.MISSING) {
                requestSetUp(session, change);
            }
        }
    }

    // --- At a boundary ---

    /** Returns the stitcher that selects the pieces put between the segments of a session's lecture. */
    StitchedPiece.Stitcher stitcher(Session session) {
        if (activeChanges.isEmpty()
                && session.programmeState.recordedChangeId == null
                && !session.playlist.hasStitchedPieces()) {
            return StitchedPiece.Stitcher.NONE;
        }
        return new StitchedPiece.Stitcher() {
            @Override
            public StitchedPiece pieceBefore(int segment, double boundaryS, double boundaryMs) {
                return ProgrammeChanges.this.pieceBefore(session, segment, boundaryS, toCommonMs(boundaryMs));
            }

            @Override
            public StitchedPiece relistPiece(StitchedPiece piece) {
                return ProgrammeChanges.this.relistPiece(session, piece);
            }

            @Override
            public StitchedPiece continuePiece(StitchedPiece piece) {
                return ProgrammeChanges.this.continuePiece(session, piece);
            }
        };
    }

    /** Returns the piece to put before a segment, at a common time in ms; null if none, WAIT if not decided yet. */
    private StitchedPiece pieceBefore(Session session, int segment, double boundaryS, double boundaryMs) {
        ProgrammeState state = session.programmeState;
        updateCandidates(session);
        if (state.skippedBoundary == segment || state.candidates.isEmpty() && state.recordedChangeId == null) {
            return null;
        }
        if (state.recordedChangeId != null) {
            return state.recordedChangeDurable ? beginPiece(session, segment) : StitchedPiece.WAIT;
        }
        while (true) {
            ActiveChanges.SessionFacts facts = sessionFacts(session, session.rung);
            ActiveChanges.Decision decision = activeChanges.chooseAt(state.candidates, facts, boundaryS, boundaryMs);
            for (String changeId : decision.withoutRendition()) {
                reportOnce(
                        session,
                        changeId,
                        "changes-without-rendition",
                        "change {} waits: no rendition lies between the class's floor and the session's rate");
            }
            if (decision.choice() == null) {
                return null;
            }
            Change change = decision.choice().change();
            StitchedPiece piece = resolvePiece(session, change, segment);
            if (piece == StitchedPiece.WAIT) {
                return piece;
            }
            if (piece == null) {
                counters.increment("changes-put-off");
                state.skippedBoundary = segment;
                return null;
            }
            if (!isCompatible(session, piece)) {
                reportOnce(
                        session,
                        change.id(),
                        "changes-left-out",
                        "change {} left out: its target duration or EXT-X-MAP does not fit the lecture's playlist");
                state.candidates = state.candidates.stream()
                        .filter(candidate -> candidate != change)
                        .toList();
                continue;
            }
            if (!activeChanges.canRecordShowing()) {
                counters.increment("bound-shown-hit");
                return null;
            }
            recordShowing(session, change, facts);
            if (ledger.isEnabled()) {
                return StitchedPiece.WAIT;
            }
            return beginPiece(session, segment);
        }
    }

    /** Records a showing before the player gets it, so that after a crash in between the change counts as shown. */
    private void recordShowing(Session session, Change change, ActiveChanges.SessionFacts facts) {
        ProgrammeState state = session.programmeState;
        state.recordedChangeId = change.id();
        state.recordedChangeDurable = !ledger.isEnabled();
        List<String> keys = activeChanges.recordShowing(change, facts);
        ledger.recordShowings(change.id(), keys);
        state.showings = new ArrayList<>(state.showings);
        keys.stream()
                .filter(key -> !key.startsWith("s "))
                .forEach(key -> state.showings.add(new Showing(change.id(), key)));
        if (ledger.isEnabled()) {
            ledger.whenWritten(() -> {
                if (change.id().equals(state.recordedChangeId)) {
                    state.recordedChangeDurable = true;
                    runWaitingCallbacks(session);
                }
            });
        }
    }

    /**
     * Returns the piece of the recorded change to put before a segment; null if it was withdrawn or is not available.
     */
    private StitchedPiece beginPiece(Session session, int segment) {
        ProgrammeState state = session.programmeState;
        Change change = activeChanges.get(state.recordedChangeId);
        if (change == null) {
            // withdrawn while its showing was being written
            state.recordedChangeId = null;
            return null;
        }
        StitchedPiece piece = resolvePiece(session, change, segment);
        if (piece == null || piece == StitchedPiece.WAIT || !isCompatible(session, piece)) {
            state.skippedBoundary = segment;
            return null;
        }
        state.recordedChangeId = null;
        state.candidates = state.candidates.stream()
                .filter(candidate -> candidate != change)
                .toList();
        state.cookieUntilMs = nowMs() + COOKIE_RESEND_MS;
        counters.increment("changes-shown");
        changeCounts(change.id()).shown++;
        LOG.atInfo()
                .addKeyValue("session", session.requestId)
                .log("change {} before segment {}, rendition {}", change.id(), segment, piece.rung());
        return piece;
    }

    /** Logs and counts, once per session and change, that a change waits or is left out. */
    private void reportOnce(Session session, String changeId, String counter, String message) {
        if (!session.programmeState.reportedChangeIds.contains(changeId)) {
            session.programmeState.reportedChangeIds = new HashSet<>(session.programmeState.reportedChangeIds);
            session.programmeState.reportedChangeIds.add(changeId);
            counters.increment(counter);
            ChangeCounts counts = changeCounts(changeId);
            if (counter.equals("changes-left-out")) {
                counts.leftOut++;
            } else {
                counts.waited++;
            }
            LOG.atInfo().addKeyValue("session", session.requestId).log(message, changeId);
        }
    }

    /** Returns whether a piece can be put into a session's playlist without altering tags that were already sent. */
    private boolean isCompatible(Session session, StitchedPiece piece) {
        // the target duration must not change (RFC 8216, 6.2.1), and an EXT-X-MAP can't be revoked (4.3.2.5)
        return piece.isInterstitial()
                || piece.source().targetS() <= session.playlist.targetS()
                        && piece.source().hasMap() == session.lecture.hasMap();
    }

    /** Returns a change's piece at the box that has it; WAIT while a box is queried, null if no box has it yet. */
    private StitchedPiece resolvePiece(Session session, Change change, int segment) {
        Session pieceSetUp = playingSetUp(session, change);
        Change.Rendition rendition = ActiveChanges.selectRendition(
                change, sessionFacts(session, pieceSetUp != null ? pieceSetUp.rung : session.rung));
        if (rendition == null) {
            return null;
        }
        BoxClient box = pieceSetUp != null ? pieceSetUp.box : session.box;
        switch (pieceAvailability.lookUp(box, change.title(), rendition.rung())) {
            case PENDING -> {
                pieceAvailability.whenAnswered(
                        box, change.title(), rendition.rung(), () -> runWaitingCallbacks(session));
                return StitchedPiece.WAIT;
            }
            case MISSING, FAILED -> {
                // prepareDuePieces() requests the set-up at a box that holds it
                return null;
            }
            default -> {}
        }
        SourcePlaylist source = sourceCache.get(change.title(), rendition.rung());
        int resumeSegment = change.replaceS() > 0
                ? Math.max(
                        segment + 1,
                        session.lecture.nearestBoundary(session.lecture.startS(segment) + change.replaceS()))
                : segment;
        String assetUri =
                session.supportsInterstitials ? "/s/" + session.token + "/pieces/" + change.id() + ".m3u8" : null;
        return new StitchedPiece(
                change.id(),
                rendition.rung(),
                baseUri(session, pieceSetUp, change, rendition),
                source,
                segment,
                resumeSegment,
                assetUri);
    }

    /** Returns the base URI of a rendition's segments: in the piece's own set-up, or below the lecture's base URI. */
    private static String baseUri(Session session, Session pieceSetUp, Change change, Change.Rendition rendition) {
        return pieceSetUp != null
                ? pieceSetUp.baseUri + rendition.rung() + "/"
                : session.baseUri + "p/" + change.title() + "/" + rendition.rung() + "/";
    }

    /**
     * Returns a piece that was listed but not played to its end, at the box that has it now; WAIT while a box is
     * queried, null if it was withdrawn or is not available.
     */
    private StitchedPiece relistPiece(Session session, StitchedPiece piece) {
        Change change = activeChanges.get(piece.changeId());
        StitchedPiece current = change == null ? null : resolvePiece(session, change, piece.beforeSegment());
        if (current == StitchedPiece.WAIT && session.programmeState.skippedBoundary != piece.beforeSegment()) {
            return current;
        }
        if (current == null
                || current == StitchedPiece.WAIT
                || current.source().segmentCount() != piece.source().segmentCount()) {
            counters.increment("changes-cut");
            changeCounts(piece.changeId()).cut++;
            return null;
        }
        // the segments that it replaces stay as they were when it was first listed
        return new StitchedPiece(
                current.changeId(),
                current.rung(),
                current.baseUri(),
                current.source(),
                piece.beforeSegment(),
                piece.resumeSegment(),
                piece.assetUri());
    }

    /**
     * Returns the piece at the rendition that suits the session's current rung; the same piece if none is available.
     */
    private StitchedPiece continuePiece(Session session, StitchedPiece piece) {
        Change change = activeChanges.get(piece.changeId());
        Session pieceSetUp = change == null ? null : playingSetUp(session, change);
        if (change == null || pieceSetUp == null && session.programmeState.pieceSetUps.containsKey(piece.changeId())) {
            return piece;
        }
        Change.Rendition rendition = ActiveChanges.renditionToContinue(
                change, sessionFacts(session, pieceSetUp != null ? pieceSetUp.rung : session.rung));
        if (rendition == null || rendition.rung() == piece.rung()) {
            return piece;
        }
        SourcePlaylist source = sourceCache.get(change.title(), rendition.rung());
        if (source == null || source.segmentCount() != piece.source().segmentCount()) {
            // starts a query, so that the rendition may be available at the next segment
            pieceAvailability.lookUp(
                    pieceSetUp != null ? pieceSetUp.box : session.box, change.title(), rendition.rung());
            return piece;
        }
        return new StitchedPiece(
                piece.changeId(),
                rendition.rung(),
                baseUri(session, pieceSetUp, change, rendition),
                source,
                piece.beforeSegment(),
                piece.resumeSegment(),
                piece.assetUri());
    }

    // --- Set-ups of pieces at other boxes ---

    /** Returns the playing set-up of a change's piece; null if there is none. */
    private Session playingSetUp(Session session, Change change) {
        Session pieceSetUp = session.programmeState.pieceSetUps.get(change.id());
        return pieceSetUp != null && pieceSetUp.state == Session.State.PLAYING ? pieceSetUp : null;
    }

    /** Requests the set-up of a change's piece, unless one is pending or the last request is too recent. */
    private void requestSetUp(Session session, Change change) {
        ProgrammeState state = session.programmeState;
        Double requestedAtMs = state.setUpRequestedAtMs.get(change.id());
        Session current = state.pieceSetUps.get(change.id());
        boolean placing = current != null && current.state == Session.State.PLACING;
        if (placing
                || requestedAtMs != null
                        && nowMs() - requestedAtMs < settings.times().backoffMostMs()) {
            return;
        }
        state.setUpRequestedAtMs = new HashMap<>(state.setUpRequestedAtMs);
        state.setUpRequestedAtMs.put(change.id(), nowMs());
        Holders holders = change.homeCell() >= 0
                ? new Holders(change.homeCell(), change.span())
                : settings.titles().getOrDefault(change.title(), new Holders(0, Integer.MAX_VALUE));
        Session[] pieceSetUp = new Session[1];
        pieceSetUp[0] = sessionOperations.setUpPiece(
                session, change.title(), holders, () -> onPieceSetUpChanged(session, change.id(), pieceSetUp[0]));
        if (pieceSetUp[0] != null) {
            counters.increment("piece-set-ups");
            state.pieceSetUps = new HashMap<>(state.pieceSetUps);
            state.pieceSetUps.put(change.id(), pieceSetUp[0]);
        }
    }

    /** Handles a state change of a piece's set-up. */
    private void onPieceSetUpChanged(Session session, String changeId, Session pieceSetUp) {
        if (pieceSetUp == null || session.programmeState.pieceSetUps.get(changeId) != pieceSetUp) {
            return;
        }
        if (pieceSetUp.state == Session.State.PLAYING) {
            runWaitingCallbacks(session);
        } else if (pieceSetUp.state != Session.State.PLACING) {
            boolean listed = pieceSetUp.startedAtMs > 0
                    && session.state == Session.State.PLAYING
                    && session.playlist.listsPiece(changeId);
            session.programmeState.pieceSetUps.remove(changeId);
            if (listed) {
                // its box was lost or ended it, so the rest of the piece is dropped and the lecture continues
                counters.increment("pieces-lost");
                session.playlist.dropPiece(session.lecture, changeId, nowMs());
            }
        }
    }

    /** Handles an extended playlist: releases set-ups of played pieces and reports a changed delivery rung. */
    void onExtended(Session session) {
        ProgrammeState state = session.programmeState;
        if (!state.pieceSetUps.isEmpty()) {
            for (Map.Entry<String, Session> entry : new ArrayList<>(state.pieceSetUps.entrySet())) {
                boolean stillDue = state.candidates.stream().anyMatch(c -> c.id().equals(entry.getKey()))
                        || entry.getKey().equals(state.recordedChangeId);
                if (!stillDue && !session.playlist.listsPiece(entry.getKey())) {
                    state.pieceSetUps.remove(entry.getKey());
                    sessionOperations.releasePiece(entry.getValue());
                }
            }
        }
        StitchedPiece lastPiece = session.playlist.lastPiece();
        int deliveryRung = lastPiece == null || state.pieceSetUps.containsKey(lastPiece.changeId())
                ? session.rung
                : ladderRungFor(session, lastPiece);
        if (deliveryRung != (state.reportedRung < 0 ? session.rung : state.reportedRung)) {
            state.reportedRung = deliveryRung == session.rung ? -1 : deliveryRung;
            sessionOperations.reportDeliveryRung(session, deliveryRung);
        }
        prepareDuePieces(session);
    }

    /**
     * Returns the lowest rung, from the class's lowest to the session's, whose rate is at least that of the rendition.
     */
    private int ladderRungFor(Session session, StitchedPiece piece) {
        Change change = activeChanges.get(piece.changeId());
        if (change == null) {
            return session.programmeState.reportedRung < 0 ? session.rung : session.programmeState.reportedRung;
        }
        double rateKb = change.renditions().stream()
                .filter(r -> r.rung() == piece.rung())
                .mapToDouble(Change.Rendition::rateKb)
                .sum();
        int rung = settings.controller().classes().get(session.sessionClass).lowestRung();
        while (rung < session.rung && settings.controller().media().rungKb().get(rung) < rateKb - 1e-9) {
            rung++;
        }
        return rung;
    }

    /** Resets the reported delivery rung, after a session started at a box or the controller set its rung. */
    void resetReportedRung(Session session) {
        session.programmeState.reportedRung = -1;
    }

    /** Releases the set-ups of pieces of a session that was removed. */
    void onSessionRemoved(Session session) {
        List<Session> setUps = List.copyOf(session.programmeState.pieceSetUps.values());
        session.programmeState.pieceSetUps = Map.of();
        setUps.forEach(sessionOperations::releasePiece);
    }

    /** Drops the cached answers of a box that was lost on which pieces it has. */
    void onBoxLost(BoxClient box) {
        pieceAvailability.onBoxLost(box);
    }

    // --- Waiting ---

    /**
     * Calls {@code body} once the piece or the record that a session's playlist waits for is available. After a timeout
     * {@code body} is called all the same, and no piece is put in at the boundary.
     */
    void whenReady(Session session, Runnable body) {
        ProgrammeState state = session.programmeState;
        boolean[] done = new boolean[1];
        Runnable once = () -> {
            if (!done[0]) {
                done[0] = true;
                body.run();
            }
        };
        state.waitingCallbacks = new ArrayList<>(state.waitingCallbacks);
        state.waitingCallbacks.add(once);
        loop.schedule(settings.times().stitchWaitMs(), () -> {
            if (!done[0]) {
                counters.increment("changes-waits-over");
                state.skippedBoundary = session.playlist.nextSegment();
                once.run();
            }
        });
    }

    private void runWaitingCallbacks(Session session) {
        List<Runnable> callbacks = session.programmeState.waitingCallbacks;
        session.programmeState.waitingCallbacks = List.of();
        callbacks.forEach(Runnable::run);
    }

    // --- Cookies ---

    /** Takes over the showings in a viewer's cookies, given as the values of Cookie headers. */
    void readCookies(Session session, List<String> headers) {
        if (cookie == null || headers.isEmpty() || session.viewer.isEmpty()) {
            return;
        }
        List<Showing> showings = cookie.read(session.viewer, headers);
        if (showings == null) {
            counters.increment("cookies-refused");
        } else {
            session.programmeState.showings = showings;
        }
    }

    /** Returns the value of the Set-Cookie header for a response to a session's player; null if it needs none. */
    String cookieHeader(Session session) {
        return cookie == null
                        || session.viewer.isEmpty()
                        || session.programmeState.showings.isEmpty()
                        || nowMs() > session.programmeState.cookieUntilMs
                ? null
                : cookie.toSetCookie(session.viewer, session.programmeState.showings);
    }
}
