package calicovale.manager.servers;

/**
 * Tells when a link to a server must be opened because a message of the server may have been lost with another link.
 *
 * <p>A server sends the release of a session on one open link and once more on the next link that is opened. So if a
 * link ends before everything on it was read, the release comes again only if another link is opened afterwards, even
 * while further links to the server are open. If the lost link was closed because nothing came on it, the server may be
 * out of reach, so the next link is opened when the server is heard again on another one, or some time later. Times are
 * clock times in ms.
 */
final class LostInput {
    /** Delay before the first link is opened; it doubles with each further one. */
    private static final double FIRST_DELAY_MS = 150;
    /** Upper bound of the delay, because a release must reach its viewer within 8 s of its session's end. */
    private static final double MAX_DELAY_MS = 1000;
    /** Upper bound of the doublings of the delay. */
    private static final int MAX_DOUBLINGS = 3;
    /**
     * Delay after a link on which nothing came if the server is not heard meanwhile. With the time of the attempt
     * before and a failed connection after it, a release still reaches its viewer within 8 s.
     */
    private static final double SILENT_DELAY_MS = 3000;
    /** Time without a link opened here after which the delay is the first one again. */
    private static final double DELAY_RESET_MS = 5000;

    /** Fraction by which the delays are shorter, so that managers do not all connect at the same time. */
    private final double jitter;

    private boolean pending;
    /** Number of the newest link at the time of the latest loss. */
    private int newestLinkAtLoss;

    private int linksOpened;
    private double lastOpenedAtMs = Double.NEGATIVE_INFINITY;
    private double dueAtMs;
    /** Whether the link opens earlier if the server is heard on another link. */
    private boolean awaitsServer;

    LostInput(double jitter) {
        this.jitter = jitter;
    }

    /**
     * Records that a link ended on which a message may be lost.
     *
     * @param newestLink number of the newest link at that time
     * @param silent whether the link was closed because nothing came on it
     */
    void record(int newestLink, boolean silent, double nowMs) {
        pending = true;
        newestLinkAtLoss = newestLink;
        linksOpened = nowMs - lastOpenedAtMs > DELAY_RESET_MS ? 0 : linksOpened;
        awaitsServer = silent;
        dueAtMs = Math.max(dueAtMs, nowMs + (silent ? SILENT_DELAY_MS : delayMs()));
    }

    /** Records that something was received from the server. */
    void serverHeard(double nowMs) {
        if (pending && awaitsServer) {
            awaitsServer = false;
            dueAtMs = nowMs + delayMs();
        }
    }

    /** Records that a link has opened; if it is newer than the loss, the server repeats its releases on it. */
    void linkOpened(int link) {
        pending &= link <= newestLinkAtLoss;
    }

    /** Returns whether a link must be opened now. */
    boolean isDue(double nowMs) {
        return pending && nowMs >= dueAtMs;
    }

    /** Records that a link begins to be opened for this purpose. */
    void opening(double nowMs) {
        linksOpened++;
        lastOpenedAtMs = nowMs;
        awaitsServer = false;
        dueAtMs = nowMs + delayMs();
    }

    private double delayMs() {
        double delayMs = FIRST_DELAY_MS * (1 << Math.min(MAX_DOUBLINGS, linksOpened));
        return Math.min(MAX_DELAY_MS, delayMs) * (1 - jitter);
    }
}
