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
 * Holds the active changes and decides, without I/O, which change a session shows at a boundary and in which rendition.
 * Among changes that are due, the order is higher priority, then earlier start, then smaller id, so that all managers
 * make the same choice. A change that missed a boundary is shown at the next one that plays before the change expires,
 * or not at all.
 */
public final class ActiveChanges {

    /**
     * Facts of a session that decide which changes it is shown.
     *
     * @param session id of the session, which stays the same when the session moves or returns
     * @param viewer id of the viewer; empty if unknown, in which case once per viewer means once per session
     * @param title title of the lecture
     * @param sessionClass name of the session's class
     * @param tenant name of the session's tenant
     * @param lowestRung floor of the session's class, a rung of the lecture's ladder
     * @param rateKb rate of the current rung as the controller accounts for it, in kB/s
     * @param scale ratio of the class's rates to the ladder's rates, by which the piece's rates are multiplied too
     * @param returning true if the viewer continues a lecture that it began in another session, in which case changes
     *     that the earlier session was shown are not shown again
     */
    public record SessionFacts(
            String session,
            String viewer,
            String title,
            String sessionClass,
            String tenant,
            int lowestRung,
            double rateKb,
            double scale,
            boolean returning) {}

    /** A change to show now, and the rendition of its piece. */
    public record Choice(Change change, Change.Rendition rendition) {}

    /**
     * Result for one boundary of a session.
     *
     * @param choice the change to show, or null if none is
     * @param withoutRendition ids of the due changes that have no rendition within the session's rate and floor
     */
    public record Decision(Choice choice, List<String> withoutRendition) {
        static final Decision NONE = new Decision(null, List.of());
    }

    private static final Comparator<Change> SELECTION_ORDER = Comparator.comparingInt((Change c) -> -c.priority())
            .thenComparingDouble(c -> Math.max(c.atMs(), c.lectureS()))
            .thenComparing(Change::id);

    private final int maxChanges;
    private final int maxShowings;
    private final Map<String, Change> changes = new LinkedHashMap<>();
    /** Keys of the viewers and sessions that were shown a change, by the change's id. */
    private final Map<String, Set<String>> showingKeysByChange = new HashMap<>();

    private int showingCount;
    private long version;

    /**
     * Creates an empty instance.
     *
     * @param maxChanges maximum number of active changes
     * @param maxShowings maximum number of recorded showings, over all changes
     */
    public ActiveChanges(int maxChanges, int maxShowings) {
        this.maxChanges = maxChanges;
        this.maxShowings = maxShowings;
    }

    /**
     * Returns a version that increases when a change is added, withdrawn or expires. Older candidate lists are then
     * stale.
     */
    public long version() {
        return version;
    }

    /**
     * Returns whether a change can be added. It cannot if the maximum number of changes is reached, or if it would
     * replace a change that has been shown to a session.
     */
    public boolean canAdd(Change change) {
        return changes.containsKey(change.id())
                ? !showingKeysByChange.containsKey(change.id())
                : changes.size() < maxChanges;
    }

    /** Adds a change or replaces the one with the same id. Returns false if {@link #canAdd} refuses it. */
    public boolean add(Change change) {
        if (!canAdd(change)) {
            return false;
        }
        changes.put(change.id(), change);
        version++;
        return true;
    }

    /** Removes a change, so that no further session starts it. Returns false if the id is unknown. */
    public boolean withdraw(String id) {
        boolean known = changes.remove(id) != null;
        version += known ? 1 : 0;
        return known;
    }

    /** Removes expired changes, and the recorded showings of all changes that are no longer active. */
    public void removeExpired(double nowMs) {
        if (changes.values().removeIf(c -> c.validUntilMs() < nowMs)) {
            version++;
        }
        if (showingKeysByChange.keySet().retainAll(changes.keySet())) {
            showingCount =
                    showingKeysByChange.values().stream().mapToInt(Set::size).sum();
        }
    }

    /** Returns whether there are no active changes. Called at every boundary of every session. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Returns the active changes. */
    public Collection<Change> changes() {
        return List.copyOf(changes.values());
    }

    /** Returns an active change, or null if there is none with this id. */
    public Change get(String id) {
        return changes.get(id);
    }

    /** Returns the keys under which a showing is recorded: by viewer (v), by session (s), by lecture and viewer (r). */
    private static List<String> showingKeys(Change change, SessionFacts session) {
        if (session.viewer().isEmpty()) {
            return List.of("s " + session.session());
        }
        return change.oncePerViewer()
                ? List.of("v " + session.viewer())
                : List.of("s " + session.session(), "r " + session.title() + " " + session.viewer());
    }

    /** Returns whether a change was shown to this session, or to its viewer if the change is shown once per viewer. */
    public boolean wasShown(Change change, SessionFacts session) {
        Set<String> shownKeys = showingKeysByChange.get(change.id());
        if (shownKeys == null) {
            return false;
        }
        for (String key : showingKeys(change, session)) {
            // a viewer that restarts a lecture instead of continuing it counts as another session
            if (shownKeys.contains(key) && (session.returning() || !key.startsWith("r "))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether one more showing, which takes up to two keys, can be recorded. Otherwise no change is started.
     */
    public boolean canRecordShowing() {
        return showingCount + 2 <= maxShowings;
    }

    /**
     * Records that a session's playlist shows a change. Returns the showing's keys, for {@link SessionLedger.Showing}.
     */
    public List<String> recordShowing(Change change, SessionFacts session) {
        List<String> keys = showingKeys(change, session);
        keys.forEach(key -> addShowingKey(change.id(), key));
        return keys;
    }

    /** Adds a key of a showing, as {@link #recordShowing} returns them. Returns false at the maximum. */
    public boolean addShowingKey(String changeId, String showingKey) {
        if (showingCount >= maxShowings) {
            return false;
        }
        showingCount += showingKeysByChange
                        .computeIfAbsent(changeId, x -> new HashSet<>())
                        .add(showingKey)
                ? 1
                : 0;
        return true;
    }

    /** Returns the changes that a session may still be shown, in selection order. */
    public List<Change> candidates(SessionFacts session) {
        List<Change> result = new ArrayList<>(0);
        for (Change change : changes.values()) {
            if (change.audience().includes(session.title(), session.sessionClass(), session.tenant(), session.session())
                    && !wasShown(change, session)) {
                result.add(change);
            }
        }
        result.sort(SELECTION_ORDER);
        return result;
    }

    /**
     * Chooses the change to show at a boundary of a session's lecture.
     *
     * @param candidates result of {@link #candidates} for the session at the current {@link #version}
     * @param boundaryS position of the boundary in the lecture, in seconds
     * @param boundaryMs time on the common clock at which the boundary will play, in ms
     */
    public Decision chooseAt(List<Change> candidates, SessionFacts session, double boundaryS, double boundaryMs) {
        List<String> withoutRendition = null;
        for (int i = 0; i < candidates.size(); i++) {
            Change change = candidates.get(i);
            if (!isDue(change, boundaryS, boundaryMs) || wasShown(change, session)) {
                continue;
            }
            Change.Rendition rendition = selectRendition(change, session);
            if (rendition != null) {
                return new Decision(
                        new Choice(change, rendition), withoutRendition == null ? List.of() : withoutRendition);
            }
            // not skipped for good, because at a later boundary a rendition that keeps the floor may fit
            withoutRendition = withoutRendition == null ? new ArrayList<>() : withoutRendition;
            withoutRendition.add(change.id());
        }
        return withoutRendition == null ? Decision.NONE : new Decision(null, withoutRendition);
    }

    /** Returns whether a change is due at a boundary; parameters as for {@link #chooseAt}. */
    public static boolean isDue(Change change, double boundaryS, double boundaryMs) {
        return boundaryMs <= change.validUntilMs()
                && (change.atMs() >= 0 ? boundaryMs >= change.atMs() : boundaryS >= change.lectureS());
    }

    /**
     * Returns the highest rendition within the current rung's rate that keeps the class's floor, or null if
     * there is none.
     */
    public static Change.Rendition selectRendition(Change change, SessionFacts session) {
        Change.Rendition best = null;
        for (Change.Rendition rendition : change.renditions()) {
            if (rendition.rung() >= session.lowestRung() && rendition.rateKb() * session.scale() <= session.rateKb()) {
                best = rendition;
            }
        }
        return best;
    }

    /**
     * Returns the rendition in which a started piece continues after the session's rung changed. It is that of {@link
     * #selectRendition}, or else the lowest one that keeps the floor, because a started piece is always played to its
     * end. Null if no rendition keeps the floor.
     */
    public static Change.Rendition renditionToContinue(Change change, SessionFacts session) {
        Change.Rendition bestRendition = selectRendition(change, session);
        for (Change.Rendition rendition : change.renditions()) {
            if (bestRendition == null && rendition.rung() >= session.lowestRung()) {
                return rendition;
            }
        }
        return bestRendition;
    }
}
