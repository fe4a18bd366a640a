package calicovale.manager.servers;

import calicovale.manager.sessions.SessionTable;
import java.util.Collection;

/** Chooses the idle link that is closed when the bound on links is reached and another link is needed. */
final class IdleLinks {
    /**
     * Time, in ms, for which the only link to a server with playing sessions stays open at least. A server sends
     * releases that could not be sent before as soon as a link opens, and only once.
     */
    private static final double MIN_OPEN_MS = 500;

    /** What is lost when a link is closed, the least first. */
    private enum Loss {
        /** No session plays at the server. */
        NONE,
        /** The server can send events of its sessions on another link. */
        SPARE,
        /** The server cannot send events of its sessions until it is connected to again. */
        ONLY_LINK
    }

    private IdleLinks() {}

    /**
     * Returns the open link without attempts whose close loses least, among equals the one that was not used for
     * longest; null if there is none that may be closed.
     */
    static ServerLink leastUseful(Collection<VideoServer> servers, SessionTable sessions, double nowMs) {
        ServerLink least = null;
        Loss leastLoss = null;
        for (VideoServer server : servers) {
            Loss loss = loss(server, sessions);
            for (ServerLink link : server.links) {
                boolean mayClose = link.open
                        && link.attempts.isEmpty()
                        && (loss != Loss.ONLY_LINK || nowMs - link.establishedAtMs >= MIN_OPEN_MS);
                if (mayClose
                        && (least == null
                                || loss.compareTo(leastLoss) < 0
                                || loss == leastLoss && link.lastUsedAtMs < least.lastUsedAtMs)) {
                    least = link;
                    leastLoss = loss;
                }
            }
        }
        return least;
    }

    private static Loss loss(VideoServer server, SessionTable sessions) {
        if (sessions.playingCountAt(server.number) == 0) {
            return Loss.NONE;
        }
        long usableLinks = server.links.stream()
                .filter(link -> link.open && !link.unusable)
                .count();
        return usableLinks > 1 ? Loss.SPARE : Loss.ONLY_LINK;
    }
}
