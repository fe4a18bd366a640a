package calicovale.front.player;

import calicovale.front.box.BoxClient;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.net.EventLoop;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Holds this manager's sessions, changes their state, and removes those that ended. */
final class SessionRegistry {
    /** Length of the random secret in a session's URL, in bytes. */
    private static final int TOKEN_BYTES = 16;

    /** All sessions by the secret token of their URL. */
    final Map<String, Session> byToken = new HashMap<>();
    /** Sessions that are being placed or are playing, by the id of their current request. */
    final Map<String, Session> byRequestId = new HashMap<>();
    /** Playing sessions by box. */
    final Map<BoxClient, Set<Session>> playingByBox = new HashMap<>();
    /** Number of requests that are not answered yet. */
    int pendingRequests;
    /** Whether new requests are refused because the process is shutting down. */
    boolean draining;

    private Runnable drainedCallback;
    private final EventLoop loop;
    private final FrontSettings settings;
    private final RandomGenerator random;
    private Consumer<Session> removalListener = session -> {};

    SessionRegistry(EventLoop loop, FrontSettings settings, RandomGenerator random) {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
    }

    /** Sets the listener that is called with each session that is removed. */
    void setRemovalListener(Consumer<Session> listener) {
        removalListener = listener;
    }

    /** Returns the name of the counter for the limit that forbids another request now; null if none does. */
    String reachedLimitCounter() {
        return draining
                ? "refused-draining"
                : pendingRequests >= settings.bounds().pending()
                        ? "bound-pending-hit"
                        : byToken.size() >= settings.bounds().sessions() ? "bound-sessions-hit" : null;
    }

    /** Returns a new random secret for a session's URL, in hexadecimal. */
    String newToken() {
        byte[] bytes = new byte[TOKEN_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Changes a session's state after its placement succeeded or failed, or after it left its box. A lost session
     * is removed: at once if no player has its playlist or it is the set-up of a piece, else after /times/endedKeptMs
     * unless it is placed again.
     */
    void changeState(Session session, Session.State state) {
        if (session.state == Session.State.PLACING) {
            pendingRequests--;
            session.deadlineTimer.cancel();
        }
        if (state != Session.State.PLAYING) {
            byRequestId.remove(session.requestId);
        }
        session.state = state;
        session.setUpCall = null;
        session.stateListener.run();
        if (state == Session.State.LOST) {
            if (session.playlistDelivered && !session.forPiece) {
                scheduleRemoval(session);
            } else {
                remove(session);
            }
        }
        if (drainedCallback != null && pendingRequests == 0) {
            Runnable callback = drainedCallback;
            drainedCallback = null;
            callback.run();
        }
    }

    /** Removes a session without a box unless it is placed again within the time that ended sessions are kept. */
    private void scheduleRemoval(Session session) {
        String requestId = session.requestId;
        loop.schedule(settings.times().endedKeptMs(), () -> {
            boolean withoutBox = session.state == Session.State.LOST || session.state == Session.State.ENDED;
            if (withoutBox && session.requestId.equals(requestId)) {
                remove(session);
            }
        });
    }

    /** Removes a session and notifies the removal listener. */
    void remove(Session session) {
        byToken.remove(session.token);
        removalListener.accept(session);
    }

    /** Refuses new requests from now on; {@code done} runs once all pending requests are answered. */
    void drain(Runnable done) {
        draining = true;
        if (pendingRequests == 0) {
            done.run();
        } else {
            drainedCallback = done;
        }
    }
}
