package calicovale.manager.servers;

import calicovale.protocols.net.Timer;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * State of one video server: its address, its links and when it was last heard or failed to answer. Times are clock
 * times in ms.
 */
final class VideoServer {
    final long number;
    final String name;
    InetSocketAddress address;
    /** Whether the server list has named it; if not, a session that was handed over did. */
    boolean listed;

    boolean gone;
    double startedAtMs;
    final Set<ServerLink> links = new LinkedHashSet<>();
    final double firstKnownAtMs;
    double lastReceivedAtMs;
    double lastCheckedAtMs;
    /** Fraction that is added to its silence timeout, so that managers do not all check it at the same time. */
    final double silenceJitter;
    /** Number of consecutive refused connections. */
    int consecutiveRefusals;
    /** When the first of them was refused. */
    double refusedSinceMs;
    /** Since when connections time out; 0: they do not, or none was tried. */
    double unreachableSinceMs;

    Timer reconnectTimer;
    /** Reconnect attempts since the last message. */
    int reconnectAttempts;
    /** Consecutive links that never opened and had releases queued. */
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
