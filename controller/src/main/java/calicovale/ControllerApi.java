package calicovale;

import java.util.List;
import java.util.Map;

/**
 * The interface of the session controller: the settings it starts with, the events it is told and the
 * actions it answers with. It holds no decision and no tuned value. All times are milliseconds of the
 * caller's clock, all rates kB a second, all indices start at 0.
 */
public final class ControllerApi {

    private ControllerApi() {}

    /** What a set-up of a class may do twice: anything, anything within a group and time, or nothing. */
    public enum Effect {
        PURE,
        TOKEN,
        SIDE_EFFECT
    }

    /** Where a further attempt of a {@link Effect#TOKEN} class may go. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports come: with outcomes and probe results, with probe results only, or not at all. */
    public enum ReportMode {
        WITH_OUTCOMES,
        WITH_PROBES,
        NONE
    }

    /**
     * One class of session.
     *
     * @param worth worth of one second at a rung of worth 1
     * @param aimMs usual bound for a set-up
     * @param deadlineMs how long a viewer waits for a set-up
     * @param effect what may happen twice
     * @param group where a further attempt may go, for {@link Effect#TOKEN}
     * @param tokenMs how long a token holds, from the attempt's start
     * @param lowestRung the floor
     * @param highestRung the highest rung of the class
     * @param scale its rates over those of the ladder
     * @param live viewers of one title, server and rung share a stream
     * @param seats sessions of one title that one controller may hold; 0: no limit
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
     * One tenant.
     *
     * @param quotaPerSecond sessions a second inside its share, over all controllers; 0: no limit
     */
    public record Tenant(double quotaPerSecond) {}

    /**
     * What the deployment allows.
     *
     * @param attempts most attempts for one request; 0: no limit
     * @param retryAfterMs the longest retry-after that clients heed; 0: clients take no advice
     * @param probes probes are permitted
     * @param messages messages to peers are permitted
     * @param cancel calling off an attempt is permitted
     */
    public record Limits(int attempts, double retryAfterMs, boolean probes, boolean messages, boolean cancel) {}

    /**
     * The figures of the rules.
     *
     * @param coldFrom a server starts at no less than this fraction of its capacity
     * @param warmAfterMs and is warm no later than this
     * @param tipMultiple a cold server fails when sent over this multiple of its pace
     * @param tipMs for this long
     * @param drainGraceMs nothing new to a draining server later than this after its drain was told
     * @param extraFree further attempts that are always permitted; negative: no budget is stated
     * @param extraRatio further attempts permitted for each request taken
     * @param extraWindowMs the time over which both are counted
     * @param askEveryMs where the list must be asked for: how old a list may grow
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
     * The ladder and the links.
     *
     * @param rungKb rate of each rung
     * @param rungWorth what each rung earns
     * @param cells number of cells; a server's rack is its cell modulo {@code racks}
     * @param racks number of racks; 0: uplinks never bind
     * @param linkKbPerWeight a server's link for each unit of its weight (rough)
     * @param uplinkKb mean uplink of a rack; 0: uplinks never bind
     * @param kindStreams for each kind of server: streams that it runs at most
     * @param join what a further viewer of a shared live stream adds, as a part of the rate
     * @param fullFrom a server refuses set-ups while so much of its link is asked; 0: never
     * @param missingCost points of worth lost for each point of the rate that is missing
     * @param changeCostS a change of rung costs so many seconds of the class's worth
     * @param noteDelayMs how late notes on playing sessions are
     * @param noteEveryMs time between notes of the link's use; 0: none
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
     * What a controller is told at its start.
     *
     * @param self this controller's number among its peers
     * @param controllers how many there are
     * @param zone this controller's zone
     * @param classes the classes of session
     * @param tenants the tenants; may be empty
     * @param overShareWorth worth of a session beyond its tenant's share, as a part of the class's
     * @param limits what is allowed
     * @param rules the figures of the rules
     * @param media the ladder and the links
     * @param reports how load reports come
     * @param askForList the list of servers comes only when asked for
     * @param worstClassWeight weight of the worst-served class in the result, below 1; 0: none
     * @param moveCost price of moving every session once, as a part of all worth
     * @param zoneCost price of serving every session across zones
     * @param probeCost price of one probe a session
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

    /** The state of a server in the list. */
    public enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * One entry of the list of servers.
     *
     * @param startedMs when its process last started; 0: long ago
     * @param weight its size beside that of other servers
     */
    public record ServerEntry(
            long server, ServerState state, int kind, int zone, int cell, double startedMs, double weight) {}

    /** How complete a list is: changes only, complete, as last held before a start, or not to be had. */
    public enum ListScope {
        CHANGES,
        COMPLETE,
        SAVED,
        FAILED
    }

    /** How an attempt ended. {@link #provesUnrun()} tells which prove that it never ran. */
    public enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true);

        private final boolean unrun;

        Outcome(boolean unrun) {
            this.unrun = unrun;
        }

        /** Whether this outcome proves that the attempt never ran. */
        public boolean provesUnrun() {
            return unrun;
        }
    }

    /** What a {@link Note} tells. */
    public enum NoteKind {
        DELIVERED_SHARE,
        RUNG,
        LINK_USE,
        UPLINK_USE
    }

    /** Something that happened. */
    public sealed interface Event {}

    /**
     * A viewer wants a session.
     *
     * @param giveUpMs clock time at which the viewer gives up
     * @param lengthMs expected length of the session; 0: unknown
     * @param homeCell first cell that holds the title
     * @param span cells in a row that hold it
     * @param top highest rung that the viewer can use
     * @param retry a repeat, where clients mark it
     * @param moved this controller moved it
     * @param returning the viewer comes again
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

    /** A session handed over while it plays; its attempt is number 0. */
    public record Takeover(Request request, long server) implements Event {}

    /** An attempt came to play. */
    public record Started(String id, int attempt, long server, double elapsedMs) implements Event {}

    /**
     * An attempt ended; {@code closed}: the request is over. {@code load} holds the server's report by
     * name ({@code inflight}, {@code util}, {@code x0}, {@code x1}, ...); empty without one.
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

    /** News on a session that plays. */
    public record Note(String id, int attempt, long server, NoteKind kind, double value) implements Event {}

    /** The viewer has left, or the answer is overdue; nothing more is owed. */
    public record Departed(String id) implements Event {}

    /** News of the list of servers. */
    public record ServerList(ListScope scope, long version, List<ServerEntry> servers) implements Event {}

    /** The result of a probe. */
    public record ProbeEnded(long server, Outcome outcome, double elapsedMs, Map<String, Double> load)
            implements Event {}

    /** A message from a peer. */
    public record PeerMessage(int peer, byte[] body) implements Event {}

    /**
     * Other controllers claim trouble at a server, where an installation lets them talk.
     *
     * @param strength of all their claims together, from 0, none, to 1; it holds until it is told anew
     */
    public record Suspected(long server, double strength) implements Event {}

    /** A timer fell due. */
    public record TimerFired(String name) implements Event {}

    /** What the controller may do; the host carries the calls out in their order. */
    public interface Actions {
        /** Sets the session up at a server; the attempt is called off after {@code timeoutMs}. */
        void attempt(String id, long server, double timeoutMs);

        /** Calls off one attempt. */
        void cancel(String id, int attempt);

        /** Sets the rung of a session. */
        void rung(String id, int rung);

        /** Ends a playing session; its viewer comes back here as a moved request. */
        void move(String id);

        /** Final answer: turned away, to come back after {@code retryAfterMs} at the earliest. */
        void refuse(String id, double retryAfterMs);

        /** Final answer: failed, with no promise about its effect. */
        void fail(String id);

        /** Checks a server. */
        void probe(long server);

        /** Sends a message of at most 256 bytes to all peers. */
        void tellPeers(byte[] body);

        /** Asks for changes of the list from now on. */
        void subscribe();

        /** Asks for one timer event. */
        void timer(double delayMs, String name);

        /** A line for the operators' log. */
        void log(String text);
    }
}
