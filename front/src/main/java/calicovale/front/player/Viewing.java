package calicovale.front.player;

import calicovale.front.box.BoxLink;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.Source;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.net.Timer;
import java.util.ArrayList;
import java.util.List;

/**
 * Owns what this manager knows of one viewer's session, over all set-ups it took: the controller sees a request for each
 * time that it is placed.
 */
final class Viewing {
    /** Where it stands: being placed; playing; without a box after a loss; over. */
    enum State {
        PLACING,
        PLAYING,
        LOST,
        ENDED
    }

    final String token;
    final int sessionClass;
    final int tenant;
    final String viewer;
    final String title;
    final int top;
    final double waitMs;
    final SessionPlaylist playlist;
    final Programme.Part part = new Programme.Part();
    /** What the ledger permits to be given. */
    Kept kept = new Kept();
    /** The player plays interstitials. */
    boolean interstitials;
    /** The viewer went on with a lecture that it had begun. */
    boolean returning;
    /** It is a set-up for a piece beside another session: no player knows of it. */
    boolean ofPiece;
    /** The session beside which it plays, for set-ups of pieces. */
    Viewing beside;
    /** Where its title is held; null: as the settings have it. */
    FrontSettings.Holders holders;
    /** Runs whenever the state is another; for set-ups of pieces. */
    Runnable changed = () -> {};
    /** Ms for which it played after the ledger's last step, if it is of the process before; negative: it is not. */
    double backAfterMs = -1;
    /** Exchanges that the present placing will answer. */
    final List<Exchange> waiting = new ArrayList<>(1);

    State state = State.PLACING;
    /** Set once a player was given this session's playlist. */
    boolean given;

    boolean departed;
    /** The present request's id and attempt, as the controller knows them. */
    String id;

    int attempt = -1;
    int rung;
    int rungChange;
    double placedAtMs;
    double startedAtMs;
    double lostAtMs;
    double attemptAtMs;
    boolean timedOut;
    BoxLink box;
    String base;
    HttpClient.Call call;
    Timer deadline;
    Source source;

    /** Numbers that may be given, and the date that the playlist had reached at a time: they are on disk. */
    static final class Kept {
        long sequence;
        int number;
        double dateMs;
        double atMs;
        boolean underWay;
    }

    Viewing(
            String token,
            int sessionClass,
            int tenant,
            String viewer,
            String title,
            int top,
            double waitMs,
            SessionPlaylist playlist) {
        this.token = token;
        this.sessionClass = sessionClass;
        this.tenant = tenant;
        this.viewer = viewer;
        this.title = title;
        this.top = top;
        this.waitMs = waitMs;
        this.playlist = playlist;
    }

    /** The key by which a box knows the present attempt. */
    String key() {
        return id + "." + attempt;
    }
}
