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
    final double knownAtMs;
    double heardAtMs;
    double lookedAtMs;
    /** Part by which its silences are taken longer: managers that hear of it together must not look at it together. */
    final double spread;
    /** Connections refused one after the other, and since when. */
    int refusals;

    double refusedSinceMs;
    /** Since when connections do not come up; 0: they do, or none was tried. */
    double unreachableSinceMs;

    Timer again;
    /** Tries to reach it since it was last heard. */
    int tries;
    /** Links that never stood, one after the other, with releases waiting on them. */
    int resends;

    VideoServer(long number, String name, double nowMs, double spread) {
        this.number = number;
        this.name = name;
        this.spread = spread;
        knownAtMs = nowMs;
        heardAtMs = nowMs;
    }

    boolean anyOpen() {
        return links.stream().anyMatch(link -> link.open && !link.useless);
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
