package calicovale.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * State of a stand-in box, without I/O: sessions with their leases, their demand on the link, how warm the box is, and
 * whether set-ups overload it while it is cold. All times are ms of one clock, which the caller reads.
 */
final class BoxModel {

    /** One session, or a set-up that is not confirmed yet. */
    static final class BoxSession {
        final String key;
        final String manager;
        final String token;
        final String title;
        final double[] ladderKb;
        int rung;
        int lastChangeNumber;
        boolean confirmed;
        double leaseUntilMs;
        /** Time of the confirmation, last segment request or last end of a transfer, in ms. */
        double lastActivityMs;
        /** Time since which the manager is known to have no event stream, in ms; negative otherwise. */
        double managerLostMs = -1;

        int activeTransfers;

        BoxSession(String key, String manager, String token, String title, double[] ladderKb, int rung) {
            this.key = key;
            this.manager = manager;
            this.token = token;
            this.title = title;
            this.ladderKb = ladderKb;
            this.rung = rung;
        }

        double rateKb() {
            return ladderKb[rung];
        }
    }

    private final BoxSettings settings;
    private final Rack rack;
    private final double startedMs;
    private final Map<String, BoxSession> sessionsByKey = new LinkedHashMap<>();
    private final Map<String, BoxSession> sessionsByToken = new LinkedHashMap<>();
    private final ArrayDeque<Double> coldSetUpTimesMs = new ArrayDeque<>();
    private double linkDivisor = 1;
    private double demandKb;

    /**
     * Creates a box without sessions.
     *
     * @param startedMs time of the cold start; 0 or less if the box is warm
     */
    BoxModel(BoxSettings settings, Rack rack, double startedMs) {
        this.settings = settings;
        this.rack = rack;
        this.startedMs = startedMs;
    }

    /** Returns whether the box is still cold. */
    boolean isCold(double nowMs) {
        return startedMs > 0 && nowMs - startedMs < settings.warmAfterMs();
    }

    /**
     * Returns the rate of set-ups that the box sustains now, in set-ups per ms. Grows linearly until the box is warm.
     */
    double sustainedSetUpsPerMs(double nowMs) {
        double ageMs = Math.max(0, nowMs - startedMs);
        double coldShare =
                settings.coldFrom() + (1 - settings.coldFrom()) * Math.min(1, ageMs / settings.warmAfterMs());
        return settings.streams() / settings.warmAfterMs() * coldShare;
    }

    /**
     * Counts an arriving set-up.
     *
     * @return false if the set-up overloads the cold box, which then crashes
     */
    boolean recordSetUp(double nowMs) {
        if (!isCold(nowMs)) {
            return true;
        }
        coldSetUpTimesMs.addLast(nowMs);
        while (coldSetUpTimesMs.peekFirst() < nowMs - settings.tipMs()) {
            coldSetUpTimesMs.removeFirst();
        }
        // one set-up more than the rate allows, because arrivals vary by chance
        return coldSetUpTimesMs.size() <= settings.tipMultiple() * sustainedSetUpsPerMs(nowMs) * settings.tipMs() + 1;
    }

    /** Returns whether set-ups are refused now. */
    boolean isFull() {
        return sessionsByKey.size() >= settings.streams()
                || settings.fullFrom() > 0 && linkDemandRatio() >= settings.fullFrom();
    }

    BoxSession get(String key) {
        return sessionsByKey.get(key);
    }

    BoxSession byToken(String token) {
        return sessionsByToken.get(token);
    }

    List<BoxSession> sessions() {
        return new ArrayList<>(sessionsByKey.values());
    }

    void add(BoxSession session) {
        sessionsByKey.put(session.key, session);
        sessionsByToken.put(session.token, session);
        updateDemand();
    }

    void remove(BoxSession session) {
        sessionsByKey.remove(session.key);
        sessionsByToken.remove(session.token);
        updateDemand();
    }

    /** Sets a session's rung, unless a change with the same or a higher number was applied before. */
    void setRung(BoxSession session, int rung, int changeNumber) {
        if (changeNumber > session.lastChangeNumber && rung >= 0 && rung < session.ladderKb.length) {
            session.rung = rung;
            session.lastChangeNumber = changeNumber;
            updateDemand();
        }
    }

    private void updateDemand() {
        demandKb = 0;
        for (BoxSession session : sessionsByKey.values()) {
            demandKb += session.rateKb();
        }
        rack.setDemand(settings.id(), demandKb);
    }

    /** Injects a fault that divides the link's capacity; a divisor of 1 ends the fault. */
    void setLinkDivisor(double divisor) {
        linkDivisor = divisor;
    }

    /** Returns the link's present capacity, in kB/s. */
    double linkKb() {
        return settings.linkKb() / linkDivisor;
    }

    /** Returns the sessions' demand divided by the link's capacity, which may exceed 1. */
    double linkDemandRatio() {
        return demandKb / linkKb();
    }

    double uplinkDemandRatio() {
        return rack.demandRatio();
    }

    /** Returns the fraction of their rates that sessions get. */
    double rateShare() {
        return Math.min(1, 1 / Math.max(1e-9, Math.max(linkDemandRatio(), rack.demandRatio())));
    }

    /** Returns the sessions that end now, each with the reason that is sent to its manager. */
    Map<BoxSession, String> expiredSessions(double nowMs) {
        Map<BoxSession, String> result = new LinkedHashMap<>();
        for (BoxSession session : sessionsByKey.values()) {
            if (!session.confirmed && nowMs > session.leaseUntilMs) {
                result.put(session, "lease");
            } else if (session.managerLostMs >= 0 && nowMs - session.managerLostMs > settings.graceMs()) {
                result.put(session, "manager-lost");
            } else if (session.confirmed
                    && session.activeTransfers == 0
                    && nowMs - session.lastActivityMs > settings.idleMs()) {
                result.put(session, "idle");
            }
        }
        return result;
    }
}
