package calicovale.front.player;

import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Holders;
import calicovale.host.ControllerHost;
import calicovale.host.Counters;
import calicovale.protocols.net.EventLoop;
import java.util.Collection;
import java.util.Map;

/** Sets up pieces beside sessions: the controller places them like sessions, but no player requests them. */
final class PieceSetUps implements ProgrammeChanges.SessionOperations {
    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final SessionRegistry registry;
    private final SessionPlacer placer;
    private final ControllerHost host;

    PieceSetUps(
            EventLoop loop,
            FrontSettings settings,
            Counters counters,
            SessionRegistry registry,
            SessionPlacer placer,
            ControllerHost host) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.registry = registry;
        this.placer = placer;
        this.host = host;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    @Override
    public Collection<Session> allSessions() {
        return registry.byToken.values();
    }

    @Override
    public Session setUpPiece(Session lectureSession, String title, Holders holders, Runnable stateListener) {
        if (registry.reachedLimitCounter() != null) {
            counters.increment("piece-set-ups-held");
            return null;
        }
        Session session = new Session(
                registry.newToken(),
                lectureSession.sessionClass,
                lectureSession.tenant,
                lectureSession.viewer,
                title,
                lectureSession.topRung,
                lectureSession.waitMs,
                new SessionPlaylist(settings.playlist(), nowMs(), host.nowMs()));
        session.forPiece = true;
        session.lectureSession = lectureSession;
        session.playlistDelivered = true;
        session.holders = holders;
        registry.byToken.put(session.token, session);
        // deferred, because the controller's actions may affect the session whose playlist is being extended
        loop.schedule(0, () -> {
            session.stateListener = stateListener;
            placer.place(session, null, false, false, false);
        });
        return session;
    }

    @Override
    public void releasePiece(Session piece) {
        loop.schedule(0, () -> {
            if (piece.state == Session.State.PLAYING) {
                piece.box.release(piece.attemptKey());
                placer.leaveBox(piece, Outcome.OK, Map.of());
            } else if (piece.state == Session.State.PLACING) {
                placer.depart(piece);
            }
        });
    }

    @Override
    public void reportDeliveryRung(Session session, int rung) {
        String attemptKey = session.attemptKey();
        loop.schedule(0, () -> {
            if (session.state == Session.State.PLAYING && session.attemptKey().equals(attemptKey)) {
                counters.increment("piece-rates-told");
                session.box.sendRung(attemptKey, rung, ++session.rungChangeNumber);
                host.raise(new Note(session.requestId, session.attempt, session.box.id(), NoteKind.RUNG, rung));
            }
        });
    }
}
