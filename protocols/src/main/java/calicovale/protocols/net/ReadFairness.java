package calicovale.protocols.net;

import java.util.Comparator;
import java.util.List;

/**
 * Shares the time that a turn of the loop spends on reading among the connections. Those that took least time lately
 * are read first. Connections that took little are read in each turn, whatever the others send; the rest is read while
 * the turn's time lasts.
 */
final class ReadFairness {
    /** Time in ns for reading in one turn, beside that of connections that took little lately. */
    private static final long TURN_BUDGET_NANOS = 10_000_000;
    /** Recent time in ns up to which a connection is read in each turn. */
    private static final long LIGHT_NANOS = 2_000_000;
    /** Time in ns after which half of a connection's recent time is forgotten. */
    private static final long HALF_LIFE_NANOS = 500_000_000;

    private static final Comparator<Connection> LEAST_RECENT_TIME =
            Comparator.comparingLong(connection -> connection.recentReadNanos);

    private final Clock clock;
    private long turnEndsAtNanos;

    ReadFairness(Clock clock) {
        this.clock = clock;
    }

    /** Starts a turn, in which these connections are to be read; sorts them into the order of reading. */
    void beginTurn(List<Connection> unread) {
        long nowNanos = clock.nanos();
        turnEndsAtNanos = nowNanos + TURN_BUDGET_NANOS;
        for (Connection connection : unread) {
            forgetOldTime(connection, nowNanos);
        }
        unread.sort(LEAST_RECENT_TIME);
    }

    private static void forgetOldTime(Connection connection, long nowNanos) {
        long halfLives = (nowNanos - connection.recentReadSinceNanos) / HALF_LIFE_NANOS;
        if (halfLives > 0) {
            connection.recentReadNanos >>= Math.min(halfLives, Long.SIZE - 1);
            connection.recentReadSinceNanos = nowNanos;
        }
    }

    /** Returns whether a connection may be read now. */
    boolean mayRead(Connection connection) {
        return connection.recentReadNanos <= LIGHT_NANOS || clock.nanos() - turnEndsAtNanos < 0;
    }

    /** Adds the time that a read call on a connection took, with the handling of what was read. */
    void charge(Connection connection, long startedAtNanos) {
        connection.recentReadNanos += clock.nanos() - startedAtNanos;
    }
}
