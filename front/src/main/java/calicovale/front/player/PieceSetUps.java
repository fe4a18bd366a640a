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

/** Owns the set-ups of pieces beside sessions, placed by the controller like any session; no player asks for them. */
final class PieceSetUps implements Programme.Sessions {
    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final SessionTable table;
    private final SetUps setUps;
    private final ControllerHost host;

    PieceSetUps(
            EventLoop loop,
            FrontSettings settings,
            Counters counters,
            SessionTable table,
            SetUps setUps,
            ControllerHost host) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.table = table;
        this.setUps = setUps;
        this.host = host;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    @Override
    public Collection<Viewing> all() {
        return table.byToken.values();
    }

    @Override
    public Viewing place(Viewing beside, String title, Holders holders, Runnable changed) {
        if (table.full() != null) {
            counters.increment("piece-set-ups-held");
            return null;
        }
        Viewing v = new Viewing(
                table.newToken(),
                beside.sessionClass,
                beside.tenant,
                beside.viewer,
                title,
                beside.top,
                beside.waitMs,
                new SessionPlaylist(settings.playlist(), nowMs(), host.nowMs()));
        v.ofPiece = true;
        v.beside = beside;
        v.given = true;
        v.holders = holders;
        table.byToken.put(v.token, v);
        // not from within a reload: the controller's actions may concern the session whose playlist is being written
        loop.schedule(0, () -> {
            v.changed = changed;
            setUps.place(v, null, false, false, false);
        });
        return v;
    }

    @Override
    public void release(Viewing piece) {
        loop.schedule(0, () -> {
            if (piece.state == Viewing.State.PLAYING) {
                piece.box.release(piece.key());
                setUps.leave(piece, Outcome.OK, Map.of());
            } else if (piece.state == Viewing.State.PLACING) {
                setUps.depart(piece);
            }
        });
    }

    @Override
    public void takes(Viewing v, int rung) {
        String key = v.key();
        loop.schedule(0, () -> {
            if (v.state == Viewing.State.PLAYING && v.key().equals(key)) {
                counters.increment("piece-rates-told");
                v.box.rung(key, rung, ++v.rungChange);
                host.raise(new Note(v.id, v.attempt, v.box.id(), NoteKind.RUNG, rung));
            }
        });
    }
}
