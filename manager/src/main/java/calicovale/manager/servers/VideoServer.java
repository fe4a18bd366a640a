package calicovale.manager.servers;

import calicovale.protocols.net.Timer;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * State of one video server: its address, its links and when it last sent something or failed to answer. Times are
 * clock times in ms.
 */
final class VideoServer {
    final long number;
    final String name;
    /** Null: it is not known, or belongs to another server now. */
    InetSocketAddress address;
    /** Whether the server list has named it; if not, a session that was handed over did. */
    boolean listed;

    /** Whether it is terminated, missing in the complete list, or replaced by another server at its address. */
    boolean gone;
    /** Latest start of its process that the list has stated; 0: none. */
    double startedAtMs;

    final Set<ServerLink> links = new LinkedHashSet<>();
    final double firstKnownAtMs;
    double lastReceivedAtMs;
    double lastCheckedAtMs;
    /** Fraction that is added to its silence timeout, so that managers do not all check it at the same time. */
    final double silenceJitter;
    /** Number of consecutive refused connections. */
    int consecutiveRefusals;
    /** Time at which the first of them was refused. */
    double refusedSinceMs;
    /** Time since which connections have timed out and none has opened; 0: none has timed out. */
    double unreachableSinceMs;

    Timer reconnectTimer;
    /** Number of reconnect attempts since something was last received from it. */
    int reconnectAttempts;
    /** Number of consecutive links that were lost before their queued releases were sent. */
    int releaseResends;

    VideoServer(long number, String name, double nowMs, double silenceJitter) {
        this.number = number;
        this.name = name;
        this.silenceJitter = silenceJitter;
        firstKnownAtMs = nowMs;
        lastReceivedAtMs = nowMs;
    }

    boolean hasUsableLink() {
        return links.stream().anyMatch(link -> link.open && !link.unusable);
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
