package calicovale.gossip.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of updates that are still to be disseminated: for each member the newest update, or the suspicions by its
 * reporters. Each update is sent a bounded number of times, the least-sent first, so that new ones spread soonest
 * (SWIM, section 4.1).
 */
final class DisseminationQueue {
    private static final class Entry {
        final Update update;
        int transmissions;

        Entry(Update update) {
            this.update = update;
        }
    }

    private final Map<String, Entry> pending = new LinkedHashMap<>();

    /**
     * Adds an update in place of earlier ones about its member. Suspicions of one member by several reporters are kept
     * side by side, because each confirmation shortens the suspicion.
     */
    void add(Update update) {
        boolean suspicion = update.state() == Update.State.SUSPECT;
        pending.values()
                .removeIf(entry -> entry.update.memberId().equals(update.memberId())
                        && (!suspicion
                                || entry.update.state() != Update.State.SUSPECT
                                || entry.update.reporter().equals(update.reporter())));
        pending.put(pendingKey(update), new Entry(update));
    }

    private static String pendingKey(Update update) {
        return update.state() == Update.State.SUSPECT ? update.memberId() + " " + update.reporter() : update.memberId();
    }

    /**
     * Returns up to {@code maxUpdates} updates for one message; an update is removed once it was sent
     * {@code maxTransmissions} times.
     */
    List<Update> take(int maxUpdates, int maxTransmissions) {
        if (pending.isEmpty() || maxUpdates <= 0) {
            return List.of();
        }
        List<Entry> leastSentFirst = new ArrayList<>(pending.values());
        leastSentFirst.sort(Comparator.comparingInt(entry -> entry.transmissions));
        List<Update> result = new ArrayList<>();
        for (Entry entry : leastSentFirst.subList(0, Math.min(maxUpdates, leastSentFirst.size()))) {
            result.add(entry.update);
            if (++entry.transmissions >= maxTransmissions) {
                pending.remove(pendingKey(entry.update));
            }
        }
        return result;
    }

    int size() {
        return pending.size();
    }

    void appendState(StringBuilder target) {
        pending.values()
                .forEach(entry -> target.append(entry.update.memberId())
                        .append(entry.update.state())
                        .append(entry.update.incarnation())
                        .append(entry.transmissions));
    }
}
