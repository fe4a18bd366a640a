package calicovale.stitch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns the changes that count and decides, without I/O, which of them a session shows at a boundary and at which rendition.
 * Of two that are due the higher priority comes first, then the earlier, then the smaller id, so that all managers choose
 * alike. One that is late is shown at the next boundary within its time or not at all.
 */
public final class ChangeBook {

    /**
     * What is known of a session at a boundary.
     *
     * @param session its id for its whole life, over moves and returns
     * @param viewer who watches; empty: unknown, then once a viewer means once a session
     * @param lowestRung its class's floor
     * @param rateKb the rate that the rung in force takes, as the controller sees it
     * @param scale the class's rates over the ladder's: the piece's rates are scaled alike
     * @param returning its viewer went on here with a lecture that it had begun: what that session was shown counts
     */
    public record Facts(
            String session,
            String viewer,
            String title,
            String sessionClass,
            String tenant,
            int lowestRung,
            double rateKb,
            double scale,
            boolean returning) {}

    /** A change to be shown now, at a rendition of its ladder. */
    public record Choice(Change change, Change.Rendition rendition) {}

    /** What a session's boundary leads to: a choice or none, and the changes that no rendition could show. */
    public record Decision(Choice choice, List<String> withoutRendition) {
        static final Decision NONE = new Decision(null, List.of());
    }

    private static final Comparator<Change> ORDER = Comparator.comparingInt((Change c) -> -c.priority())
            .thenComparingDouble(c -> Math.max(c.atMs(), c.lectureS()))
            .thenComparing(Change::id);

    private final int most;
    private final int mostShown;
    private final Map<String, Change> changes = new LinkedHashMap<>();
    private final Map<String, Set<String>> shown = new HashMap<>();
    private int shownCount;
    private long version;

    /** Holds at most {@code most} changes, and of all together at most {@code mostShown} times that one was shown. */
    public ChangeBook(int most, int mostShown) {
        this.most = most;
        this.mostShown = mostShown;
    }

    /** Grows with every change that is added, withdrawn or over: what was found before it is to be found anew. */
    public long version() {
        return version;
    }

    /** Whether a change can be added: not at the bound, nor in place of one that a session has been shown. */
    public boolean accepts(Change change) {
        return changes.containsKey(change.id()) ? !shown.containsKey(change.id()) : changes.size() < most;
    }

    /** Adds a change, or replaces one that no session has been shown; false if it is not accepted. */
    public boolean add(Change change) {
        if (!accepts(change)) {
            return false;
        }
        changes.put(change.id(), change);
        version++;
        return true;
    }

    /** Withdraws a change: no session begins it any more; false if it is unknown. */
    public boolean withdraw(String id) {
        boolean known = changes.remove(id) != null;
        version += known ? 1 : 0;
        return known;
    }

    /** Forgets changes whose time is over, and who was shown them. */
    public void expire(double nowMs) {
        if (changes.values().removeIf(c -> c.validUntilMs() < nowMs)) {
            version++;
        }
        if (shown.keySet().retainAll(changes.keySet())) {
            shownCount = shown.values().stream().mapToInt(Set::size).sum();
        }
    }

    /** Whether no change counts: asked at every boundary of every session. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** The changes that count. */
    public Collection<Change> changes() {
        return List.copyOf(changes.values());
    }

    /** A change that counts, or null. */
    public Change get(String id) {
        return changes.get(id);
    }

    /** Under which name a showing is remembered: the viewer's, the session's, and the viewer's for this lecture. */
    private static List<String> names(Change change, Facts s) {
        if (s.viewer().isEmpty()) {
            return List.of("s " + s.session());
        }
        return change.oncePerViewer()
                ? List.of("v " + s.viewer())
                : List.of("s " + s.session(), "r " + s.title() + " " + s.viewer());
    }

    /** Whether a change was shown to this session, or its viewer where it counts by viewer. */
    public boolean wasShown(Change change, Facts s) {
        Set<String> to = shown.get(change.id());
        if (to == null) {
            return false;
        }
        for (String name : names(change, s)) {
            // a viewer that begins a lecture again, and does not go on with it, is another session
            if (to.contains(name) && (s.returning() || !name.startsWith("r "))) {
                return true;
            }
        }
        return false;
    }

    /** Whether one more showing can be remembered: one that can't be is not begun. */
    public boolean canShow() {
        return shownCount + 2 <= mostShown;
    }

    /** Notes that a session's playlist shows a change; the names under which that is remembered, for the ledger. */
    public List<String> shown(Change change, Facts s) {
        List<String> names = names(change, s);
        names.forEach(name -> remember(change.id(), name));
        return names;
    }

    /** Remembers a showing by the name that {@link #shown} gave it; false at the bound. */
    public boolean remember(String id, String name) {
        if (shownCount >= mostShown) {
            return false;
        }
        shownCount += shown.computeIfAbsent(id, x -> new HashSet<>()).add(name) ? 1 : 0;
        return true;
    }

    /** The changes that a session may yet be shown, in the order in which they are chosen. */
    public List<Change> candidates(Facts s) {
        List<Change> result = new ArrayList<>(0);
        for (Change c : changes.values()) {
            if (c.audience().has(s.title(), s.sessionClass(), s.tenant(), s.session()) && !wasShown(c, s)) {
                result.add(c);
            }
        }
        result.sort(ORDER);
        return result;
    }

    /**
     * Decides at a boundary of a session's lecture.
     *
     * @param candidates what {@link #candidates} gave for the session at the present {@link #version}
     * @param boundaryS the place of the boundary in the lecture, in seconds
     * @param boundaryMs common time at which the boundary will play
     */
    public Decision at(List<Change> candidates, Facts s, double boundaryS, double boundaryMs) {
        List<String> without = null;
        for (int i = 0; i < candidates.size(); i++) {
            Change c = candidates.get(i);
            if (!due(c, boundaryS, boundaryMs) || wasShown(c, s)) {
                continue;
            }
            Change.Rendition r = rendition(c, s);
            if (r != null) {
                return new Decision(new Choice(c, r), without == null ? List.of() : without);
            }
            // it waits: a later boundary may have room for a rendition that keeps the floor
            without = without == null ? new ArrayList<>() : without;
            without.add(c.id());
        }
        return without == null ? Decision.NONE : new Decision(null, without);
    }

    /** Whether a change is due at a boundary that plays at a time. */
    public static boolean due(Change c, double boundaryS, double boundaryMs) {
        return boundaryMs <= c.validUntilMs() && (c.atMs() >= 0 ? boundaryMs >= c.atMs() : boundaryS >= c.lectureS());
    }

    /** The highest rendition that takes no more than the rung in force and keeps the class's floor; null: none. */
    public static Change.Rendition rendition(Change change, Facts s) {
        Change.Rendition best = null;
        for (Change.Rendition r : change.renditions()) {
            if (r.rung() >= s.lowestRung() && r.rateKb() * s.scale() <= s.rateKb()) {
                best = r;
            }
        }
        return best;
    }

    /**
     * The rendition with which a piece that has begun goes on after the rung changed: as {@link #rendition}, else the lowest
     * that keeps the floor, since what has begun is played out.
     */
    public static Change.Rendition onward(Change change, Facts s) {
        Change.Rendition fits = rendition(change, s);
        for (Change.Rendition r : change.renditions()) {
            if (fits == null && r.rung() >= s.lowestRung()) {
                return r;
            }
        }
        return fits;
    }
}
