package calicovale.manager.servers;

import calicovale.manager.bus.BusEvent;
import calicovale.protocols.net.Timer;
import calicovale.protocols.signal.Message;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
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
    /** Its latest entry in the server list; null: the list has not named it, but a session that was handed over did. */
    BusEvent.Entry entry;

    /** Whether it is terminated, missing in the complete list, or replaced by another server at its address. */
    boolean gone;
    /** Latest start of its process that the list has stated; 0: none. */
    double startedAtMs;

    final Set<ServerLink> links = new LinkedHashSet<>();
    /** Messages that wait until a link can be opened, because all links are in use. */
    final List<Message> waitingMessages = new ArrayList<>();

    final double firstKnownAtMs;
    double lastReceivedAtMs;
    /** Time of the latest check whether it can be reached, which is made by opening a link. */
    double lastCheckedAtMs;
    /** Time at which a link was last closed to make room for another server's. */
    double evictedAtMs = Double.NEGATIVE_INFINITY;
    /** Fraction by which its timeouts vary, so that managers do not all connect to it at the same time. */
    final double timingJitter;
    /** Number of consecutive refused connections. */
    int consecutiveRefusals;
    /** Time at which the first of them was refused. */
    double refusedSinceMs;
    /** Time since which connections have timed out and none has opened; 0: none has timed out. */
    double unreachableSinceMs;
    /** Whether a connection has timed out since something was last received. */
    boolean unreachableSinceReceived;
    /** Time at which a first connection opened after others had timed out. */
    double reachableAgainAtMs;

    /** Number of links that were created; the newest one has this number. */
    int linksCreated;

    final LostInput lostInput;

    Timer reconnectTimer;
    /** Number of reconnect attempts since a valid message was last received from it. */
    int reconnectAttempts;
    /** Number of consecutive links that were lost before their releases were read. */
    int releaseResends;

    VideoServer(long number, String name, double nowMs, double timingJitter) {
        this.number = number;
        this.name = name;
        this.timingJitter = timingJitter;
        lostInput = new LostInput(timingJitter);
        firstKnownAtMs = nowMs;
        lastReceivedAtMs = nowMs;
    }

    /** Records that something was received from the server. */
    void recordReceived(double nowMs) {
        lastReceivedAtMs = nowMs;
        unreachableSinceReceived = false;
        lostInput.serverHeard(nowMs);
    }

    /** Records that a link has opened. */
    void recordOpened(ServerLink link, double nowMs) {
        reachableAgainAtMs = unreachableSinceMs > 0 ? nowMs : reachableAgainAtMs;
        unreachableSinceMs = 0;
        consecutiveRefusals = 0;
        releaseResends = 0;
        lostInput.linkOpened(link.number);
    }

    boolean hasUsableLink() {
        return links.stream().anyMatch(link -> link.open && !link.unusable);
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
