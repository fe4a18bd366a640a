package calicovale.front.player;

import calicovale.front.box.BoxLink;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.net.EventLoop;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Owns which sessions this manager holds, in which state, and when one is forgotten. */
final class SessionTable {
    private static final int TOKEN_BYTES = 16;

    /** All sessions by the secret of their URL. */
    final Map<String, Viewing> byToken = new HashMap<>();
    /** Those that are being placed or play, by the controller's id of their present request. */
    final Map<String, Viewing> byId = new HashMap<>();
    /** Those that play, by their box. */
    final Map<BoxLink, Set<Viewing>> playingAt = new HashMap<>();
    /** Requests without an answer. */
    int pending;
    /** No new request is taken. */
    boolean draining;

    private Runnable drained;
    private final EventLoop loop;
    private final FrontSettings settings;
    private final RandomGenerator random;
    private Consumer<Viewing> forgotten = v -> {};

    SessionTable(EventLoop loop, FrontSettings settings, RandomGenerator random) {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
    }

    /** Hears of each session that is forgotten. */
    void onForgotten(Consumer<Viewing> listener) {
        forgotten = listener;
    }

    /** Whether a bound forbids another session or request now; the counter that says which, or null. */
    String full() {
        return draining
                ? "refused-draining"
                : pending >= settings.bounds().pending()
                        ? "bound-pending-hit"
                        : byToken.size() >= settings.bounds().sessions() ? "bound-sessions-hit" : null;
    }

    /** A secret for a URL. */
    String newToken() {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** A placing is over; a session that no player knows of is forgotten. */
    void settle(Viewing v, Viewing.State state) {
        if (v.state == Viewing.State.PLACING) {
            pending--;
            v.deadline.cancel();
        }
        if (state != Viewing.State.PLAYING) {
            byId.remove(v.id);
        }
        v.state = state;
        v.call = null;
        v.changed.run();
        if (state == Viewing.State.LOST) {
            if (v.given && !v.ofPiece) {
                expire(v);
            } else {
                forget(v);
            }
        }
        if (drained != null && pending == 0) {
            Runnable end = drained;
            drained = null;
            end.run();
        }
    }

    /** Forgets a session without a box after a time in which its player did not ask. */
    private void expire(Viewing v) {
        String id = v.id;
        loop.schedule(settings.times().endedKept(), () -> {
            boolean over = v.state == Viewing.State.LOST || v.state == Viewing.State.ENDED;
            if (over && v.id.equals(id)) {
                forget(v);
            }
        });
    }

    void forget(Viewing v) {
        byToken.remove(v.token);
        forgotten.accept(v);
    }

    /** Takes no new requests; {@code done} runs once every answer owed has been given. */
    void drain(Runnable done) {
        draining = true;
        if (pending == 0) {
            done.run();
        } else {
            drained = done;
        }
    }
}
