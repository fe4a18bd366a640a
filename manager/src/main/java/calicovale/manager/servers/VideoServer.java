package calicovale.manager.servers;

import calicovale.protocols.net.Timer;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/** Owns what is known of one video server: its address and links, and the signs of life. */
final class VideoServer {
    final long number;
    final String name;
    InetSocketAddress address;
    /** Whether the list has named it; else sessions that were handed over did. */
    boolean listed;

    boolean gone;
    double startedAtMs;
    final Set<ServerLink> links = new LinkedHashSet<>();
    final double firstKnownAtMs;
    double lastReceivedAtMs;
    double lastCheckedAtMs;
    /** Part by which its silences are taken longer: managers that hear of it together must not look at it together. */
    final double silenceJitter;
    /** Connections refused one after the other, and since when. */
    int consecutiveRefusals;

    double refusedSinceMs;
    /** Since when connections do not come up; 0: they do, or none was tried. */
    double unreachableSinceMs;

    Timer reconnectTimer;
    /** Tries to reach it since it was last heard. */
    int reconnectAttempts;
    /** Links that never stood, one after the other, with releases waiting on them. */
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
