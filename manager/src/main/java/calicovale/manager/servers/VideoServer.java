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
    boolean gone;
    double startedAtMs;
    final Set<ServerLink> links = new LinkedHashSet<>();
    double heardAtMs;
    double lookedAtMs;
    /** Connections refused one after the other, and since when. */
    int refusals;
    double refusedSinceMs;
    /** Since when connections do not come up; 0: they do, or none was tried. */
    double unreachableSinceMs;
    Timer again;

    VideoServer(long number, String name, double nowMs) {
        this.number = number;
        this.name = name;
        heardAtMs = nowMs;
    }

    boolean anyOpen() {
        return links.stream().anyMatch(link -> link.open);
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
