package calicovale.front.player;

import calicovale.front.box.BoxClient;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.front.playlist.SourcePlaylist;
import calicovale.front.settings.FrontSettings;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.net.Timer;
import java.util.ArrayList;
import java.util.List;

/**
 * State of one viewer's session, or of the set-up of a piece beside one, across all its placements. Each placement is a
 * separate request to the controller.
 */
final class Session {
    /** State of a session. */
    enum State {
        /** A request for it is pending. */
        PLACING,
        /** A box serves it. */
        PLAYING,
        /** It has no box, because the placement failed, its box was lost, or the box no longer holds it. */
        LOST,
        /** Its box ended it. */
        ENDED
    }

    /** Secret in the session's URL, in hexadecimal. */
    final String token;
    /** Index of its class in the settings. */
    final int sessionClass;
    /** Index of its tenant in the settings. */
    final int tenant;
    /** Name that the viewer gave; may be empty. */
    final String viewer;

    final String title;
    /** Highest rung that the player can play. */
    final int topRung;
    /** Time within which a placement must be answered, in ms. */
    final double waitMs;

    final SessionPlaylist playlist;
    final ProgrammeChanges.ProgrammeState programmeState = new ProgrammeChanges.ProgrammeState();
    /** Numbers and date that the ledger permits the playlist to use. */
    Reservation reservation = new Reservation();
    /** Whether the player plays pieces as HLS interstitials. */
    boolean supportsInterstitials;
    /** Whether the viewer continues a lecture that it had begun. */
    boolean returning;
    /** Whether this is the set-up of a piece beside another session; no player knows its token. */
    boolean forPiece;
    /** Session into whose playlist the piece is stitched; null unless this is the set-up of a piece. */
    Session lectureSession;
    /** Cells that hold its title; null for those that the settings name. */
    FrontSettings.Holders holders;
    /** Runs after each state change; used by set-ups of pieces. */
    Runnable stateListener = () -> {};
    /**
     * Time in ms for which a session of the previous process went on after its last ledger record; negative if the
     * session was not restored, or its playlist has already been moved forward by that time.
     */
    double elapsedSinceRecordMs = -1;
    /** Exchanges to be answered with the outcome of the current placement. */
    final List<Exchange> waitingExchanges = new ArrayList<>(1);

    State state = State.PLACING;
    /** Whether a player has received this session's playlist; always true for set-ups of pieces. */
    boolean playlistDelivered;
    /** Whether the controller was informed that nobody waits for the current request any more. */
    boolean departed;
    /** Id of the current request. */
    String requestId;
    /** Number of the current attempt within the request, from 0; -1 before the first. */
    int attempt = -1;

    int rung;
    /** Number of the last rung message to the box, so that the box can ignore those that arrive late. */
    int rungChangeNumber;
    /** Monotonic time at which the current placement was requested, in ms. */
    double placementStartedAtMs;
    /** Monotonic time at which the session last started at a box, in ms; 0 before the first time. */
    double startedAtMs;
    /** Monotonic time at which the session last left its box, in ms. */
    double lostAtMs;
    /** Monotonic time at which the current attempt began, in ms. */
    double attemptStartedAtMs;

    boolean lastAttemptTimedOut;
    /** Box of the current attempt; null if no list of the directory has contained it. */
    BoxClient box;
    /** URI at the box below which the session's segments are. */
    String baseUri;
    /** Outstanding set-up call; null if there is none. */
    HttpClient.Call setUpCall;
    /** Timer of the current request's deadline. */
    Timer deadlineTimer;
    /** The lecture's playlist at the rung of the last reload; null before the first. */
    SourcePlaylist lecture;

    /** Numbers and date up to which the session's playlist may be sent, because they are recorded on disk. */
    static final class Reservation {
        /** Exclusive limit of media sequence numbers. */
        long mediaSequenceLimit;
        /** Inclusive limit of discontinuity sequence numbers. */
        int discontinuitySequenceLimit;
        /** Program date-time that the playlist had reached when it was recorded, in ms. */
        double dateMs;
        /** Common time of the record, in ms. */
        double recordedAtMs;
        /** Whether a newer reservation is being written. */
        boolean writePending;
    }

    Session(
            String token,
            int sessionClass,
            int tenant,
            String viewer,
            String title,
            int topRung,
            double waitMs,
            SessionPlaylist playlist) {
        this.token = token;
        this.sessionClass = sessionClass;
        this.tenant = tenant;
        this.viewer = viewer;
        this.title = title;
        this.topRung = topRung;
        this.waitMs = waitMs;
        this.playlist = playlist;
    }

    /** Returns the key that identifies the current attempt at its box. */
    String attemptKey() {
        return requestId + "." + attempt;
    }
}
