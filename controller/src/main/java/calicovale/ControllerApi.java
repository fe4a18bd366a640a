package calicovale;

import java.util.List;
import java.util.Map;

/**
 * Types of the interface between a host and its {@link SessionController}: the settings that the controller starts
 * with, the events that the host passes to it, and the actions that it calls on the host.
 *
 * <p>The types hold data only; decisions and their constants are in the controller. Times are milliseconds of the
 * host's clock, rates are kB per second, and indices start at 0. A fraction is a number from 0 to 1.
 */
public final class ControllerApi {

    private ControllerApi() {}

    /**
     * Whether a set-up may run twice: without harm ({@code PURE}), only in one group of servers and while its token
     * holds ({@code TOKEN}), or never ({@code SIDE_EFFECT}).
     */
    public enum Effect {
        PURE,
        TOKEN,
        SIDE_EFFECT
    }

    /**
     * Servers to which a further attempt of a {@link Effect#TOKEN} class may go: all servers, or those in the zone or
     * the cell of the first attempt that may have run.
     */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** When load reports arrive: with outcomes and probe results, with probe results only, or never. */
    public enum ReportMode {
        WITH_OUTCOMES,
        WITH_PROBES,
        NONE
    }

    /**
     * Properties of one class of sessions.
     *
     * @param worth worth of one second of play at a rung of worth 1
     * @param aimMs time in ms in which a set-up should succeed
     * @param deadlineMs time in ms that a viewer waits for a set-up
     * @param effect whether a set-up may run twice
     * @param group servers to which a further attempt may go, for {@link Effect#TOKEN}
     * @param tokenMs time in ms for which a token holds, from the start of the attempt
     * @param lowestRung lowest rung at which sessions of the class may play (the floor)
     * @param highestRung highest rung at which sessions of the class may play
     * @param scale factor on the ladder's rates for this class
     * @param live whether viewers of the same title, server and rung share one stream
     * @param seats most sessions of one title in this class at one controller; 0: no limit
     */
    public record SessionClass(
            double worth,
            double aimMs,
            double deadlineMs,
            Effect effect,
            Group group,
            double tokenMs,
            int lowestRung,
            int highestRung,
            double scale,
            boolean live,
            int seats) {}

    /**
     * Properties of one tenant.
     *
     * @param quotaPerSecond new sessions per second within the tenant's share, over all controllers; 0: no limit
     */
    public record Tenant(double quotaPerSecond) {}

    /**
     * Limits on the actions of a controller.
     *
     * @param attempts most attempts for one request; 0: no limit
     * @param retryAfterMs longest retry-after in ms that clients respect; 0: clients ignore it
     * @param probes whether probes are permitted
     * @param messages whether messages to peers are permitted
     * @param cancel whether an attempt may be cancelled
     */
    public record Limits(int attempts, double retryAfterMs, boolean probes, boolean messages, boolean cancel) {}

    /**
     * Values for the rules on cold servers, drains, further attempts and the list of servers.
     *
     * @param coldFrom least fraction of its capacity that a server has when it starts
     * @param warmAfterMs time in ms after its start at which a server has its full capacity at the latest
     * @param tipMultiple multiple of the pace that a cold server takes, above which it fails
     * @param tipMs time in ms for which set-ups must exceed that multiple for the server to fail
     * @param drainGraceMs time in ms after the news of a drain from which nothing new may go to the server
     * @param extraFree further attempts in the window that are always permitted; negative: no budget limits them
     * @param extraRatio further attempts permitted for each request in the window
     * @param extraWindowMs length in ms of the window in which requests and further attempts are counted
     * @param askEveryMs greatest age in ms of the list, where it comes only when asked for
     */
    public record Rules(
            double coldFrom,
            double warmAfterMs,
            double tipMultiple,
            double tipMs,
            double drainGraceMs,
            double extraFree,
            double extraRatio,
            double extraWindowMs,
            double askEveryMs) {}

    /**
     * Properties of the ladder, the links and the notes.
     *
     * @param rungKb rate of each rung in kB/s, the lowest rung first
     * @param rungWorth worth of one second at each rung, for a class of worth 1
     * @param cells number of cells; 0: every server holds every title
     * @param racks number of racks, where a server's rack is its cell modulo this number; 0: uplinks are not limited
     * @param linkKbPerWeight approximate rate in kB/s of a server's link for each unit of its weight
     * @param uplinkKb mean rate in kB/s of a rack's uplink; 0: uplinks are not limited
     * @param kindStreams most streams that a server of each kind runs
     * @param join demand that a further viewer of a shared live stream adds, as a fraction of the stream's rate
     * @param fullFrom use of its link from which a server refuses set-ups; 0: never
     * @param missingCost percentage points of worth lost for each percentage point of the rate that is not delivered
     * @param changeCostS cost of a change of rung, in seconds of the class's worth
     * @param noteDelayMs age in ms of notes on playing sessions when they arrive
     * @param noteEveryMs time in ms between notes of the use of a link; 0: there are none
     */
    public record Media(
            List<Double> rungKb,
            List<Double> rungWorth,
            int cells,
            int racks,
            double linkKbPerWeight,
            double uplinkKb,
            List<Double> kindStreams,
            double join,
            double fullFrom,
            double missingCost,
            double changeCostS,
            double noteDelayMs,
            double noteEveryMs) {}

    /**
     * Settings of a controller; they stay the same while it runs.
     *
     * @param self number of this controller among all controllers
     * @param controllers number of controllers, including this one
     * @param zone zone of this controller
     * @param classes classes of sessions, at least one; a request names its class by index
     * @param tenants tenants; empty where tenants have no shares
     * @param overShareWorth worth of a session beyond its tenant's share, as a fraction of its class's worth
     * @param limits limits on actions
     * @param rules values for the rules
     * @param media properties of the ladder, the links and the notes
     * @param reports when load reports arrive
     * @param askForList whether the list of servers comes only after {@link Actions#subscribe()}
     * @param worstClassWeight weight of the worst-served class in the score of the service, below 1; 0: no weight
     * @param moveCost cost of moving every session once, as a fraction of all worth
     * @param zoneCost cost of serving every session across zones; 0: servers of other zones are not avoided
     * @param probeCost cost of one probe for each session
     */
    public record Settings(
            int self,
            int controllers,
            int zone,
            List<SessionClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Limits limits,
            Rules rules,
            Media media,
            ReportMode reports,
            boolean askForList,
            double worstClassWeight,
            double moveCost,
            double zoneCost,
            double probeCost) {}

    /** State of a server in the list. */
    public enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * One entry of the list of servers.
     *
     * @param server id of the server
     * @param state state of the server; only a ready one gets new sessions
     * @param kind index into {@link Media#kindStreams()}
     * @param zone zone of the server
     * @param cell cell of the server, which decides its titles and its rack
     * @param startedMs clock time of the last start of its process, in ms; 0: long ago
     * @param weight size of the server relative to others; 0 or less counts as 1
     */
    public record ServerEntry(
            long server, ServerState state, int kind, int zone, int cell, double startedMs, double weight) {}

    /**
     * Extent of a list: only what changed, all servers, all servers as saved before a restart, or none because the list
     * could not be read.
     */
    public enum ListScope {
        CHANGES,
        COMPLETE,
        SAVED,
        FAILED
    }

    /**
     * Outcome of an attempt or a probe; {@link #provesNeverRan()} returns whether it proves that nothing ran.
     * {@code MOOT}: it was dropped before it ran, which says nothing about the server's health.
     */
    public enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the attempt never ran, so that it had no effect. */
        public boolean provesNeverRan() {
            return neverRan;
        }
    }

    /**
     * Meaning of the value of a {@link Note}: fraction of the rate that was delivered, rung at which the session plays,
     * or demand over the rate of the server's link or of its rack's uplink.
     */
    public enum NoteKind {
        DELIVERED_SHARE,
        RUNG,
        LINK_USE,
        UPLINK_USE
    }

    /** Event that a host passes to {@link SessionController#handle}. */
    public sealed interface Event {}

    /**
     * Request of a viewer for a session.
     *
     * @param id id of the request and of the session that results from it; unique while either exists
     * @param sessionClass index into {@link Settings#classes()}
     * @param tenant index into {@link Settings#tenants()}
     * @param viewer id of the viewer
     * @param title title to be played
     * @param giveUpMs clock time in ms at which the viewer gives up
     * @param lengthMs expected length of the session in ms; 0: unknown
     * @param homeCell first cell that holds the title
     * @param span number of successive cells that hold the title
     * @param top highest rung that the viewer can use
     * @param retry whether the client marked this request as a repeat
     * @param moved whether this controller moved the session, which caused the request
     * @param returning whether the viewer had a session before and comes back
     */
    public record Request(
            String id,
            int sessionClass,
            int tenant,
            String viewer,
            String title,
            double giveUpMs,
            double lengthMs,
            int homeCell,
            int span,
            int top,
            boolean retry,
            boolean moved,
            boolean returning)
            implements Event {}

    /**
     * Take-over of a session that already plays. Its attempt has number 0.
     *
     * @param request request of the session
     * @param server id of the server that plays it
     */
    public record Takeover(Request request, long server) implements Event {}

    /**
     * Success of an attempt: its session plays.
     *
     * @param id id of the request
     * @param attempt number of the attempt, from 0
     * @param server id of the server
     * @param elapsedMs time in ms since the attempt was sent
     */
    public record Started(String id, int attempt, long server, double elapsedMs) implements Event {}

    /**
     * End of an attempt, before or while its session played.
     *
     * @param id id of the request
     * @param attempt number of the attempt, from 0
     * @param server id of the server
     * @param outcome outcome of the attempt
     * @param elapsedMs time in ms since the attempt was sent
     * @param closed whether the request is over, so that no further attempt may follow
     * @param load load report of the server by metric name ({@code inflight}, {@code util}, {@code x0}, {@code x1},
     *     ...); empty without a report
     */
    public record AttemptEnded(
            String id,
            int attempt,
            long server,
            Outcome outcome,
            double elapsedMs,
            boolean closed,
            Map<String, Double> load)
            implements Event {}

    /**
     * Measurement from a session that plays.
     *
     * @param id id of the request
     * @param attempt number of the attempt, from 0
     * @param server id of the server
     * @param kind meaning of the value
     * @param value a fraction, a ratio or a rung, as {@code kind} says
     */
    public record Note(String id, int attempt, long server, NoteKind kind, double value) implements Event {}

    /** End of a viewer's wait: the viewer left or the answer is overdue, so no answer is needed any more. */
    public record Departed(String id) implements Event {}

    /**
     * Update of the list of servers.
     *
     * @param scope extent of the list
     * @param version version of the list; a higher one is newer
     * @param servers entries; empty when the scope is {@link ListScope#FAILED}
     */
    public record ServerList(ListScope scope, long version, List<ServerEntry> servers) implements Event {}

    /**
     * Result of a probe.
     *
     * @param server id of the server
     * @param outcome outcome of the probe
     * @param elapsedMs time in ms that the probe took
     * @param load load report of the server by metric name; empty without a report
     */
    public record ProbeEnded(long server, Outcome outcome, double elapsedMs, Map<String, Double> load)
            implements Event {}

    /** Message from another controller, the peer with that number; a controller ignores it. */
    public record PeerMessage(int peer, byte[] body) implements Event {}

    /**
     * Claims of other controllers that a server is faulty, in deployments where controllers exchange claims.
     *
     * @param server id of the server
     * @param strength strength of all claims together, from 0 (none) to 1; it holds until the next such event
     */
    public record Suspected(long server, double strength) implements Event {}

    /** End of the delay of a timer that was started by {@link Actions#timer}. */
    public record TimerFired(String name) implements Event {}

    /** Actions of a controller. The host carries them out in the order of the calls. */
    public interface Actions {
        /**
         * Sends an attempt to set the session up at a server.
         *
         * @param id id of the request
         * @param server id of the server
         * @param timeoutMs time in ms after which the host ends the attempt as timed out
         */
        void attempt(String id, long server, double timeoutMs);

        /** Cancels an attempt of the request; attempts are numbered from 0. */
        void cancel(String id, int attempt);

        /** Sets the rung at which a session plays, or will play once it is set up. */
        void rung(String id, int rung);

        /** Ends a playing session. Its viewer sends a new request, which is marked as moved. */
        void move(String id);

        /** Gives the final answer that the request is refused; the viewer may retry after {@code retryAfterMs} ms. */
        void refuse(String id, double retryAfterMs);

        /** Gives the final answer that the request failed; its set-up may have had an effect. */
        void fail(String id);

        /** Sends a probe to a server; its result comes as {@link ProbeEnded}. */
        void probe(long server);

        /** Sends a message of at most 256 bytes to all other controllers. */
        void tellPeers(byte[] body);

        /** Asks for the list of servers and for its changes from now on. */
        void subscribe();

        /** Starts a timer that fires once, after {@code delayMs} ms, with a {@link TimerFired} of this name. */
        void timer(double delayMs, String name);

        /** Writes a line to the log for operators. */
        void log(String text);
    }
}
