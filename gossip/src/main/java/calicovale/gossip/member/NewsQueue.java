package calicovale.gossip.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the updates that are still to be spread: of each member the newest, or its accusers' suspicions, each sent a bounded
 * number of times, the least sent first, so that what is new gets out soonest (SWIM, 4.1).
 */
final class NewsQueue {
    private static final class Item {
        final Update update;
        int sent;

        Item(Update update) {
            this.update = update;
        }
    }

    private final Map<String, Item> items = new LinkedHashMap<>();

    /**
     * Spreads an update in place of what was told of its member before; suspicions of several accusers side by side, since each
     * shortens the others'.
     */
    void add(Update update) {
        boolean suspicion = update.state() == Update.State.SUSPECT;
        items.values()
                .removeIf(i -> i.update.id().equals(update.id())
                        && (!suspicion
                                || i.update.state() != Update.State.SUSPECT
                                || i.update.from().equals(update.from())));
        items.put(key(update), new Item(update));
    }

    private static String key(Update u) {
        return u.state() == Update.State.SUSPECT ? u.id() + " " + u.from() : u.id();
    }

    /** Takes at most {@code most} updates for one message; what was sent {@code times} is spread no more. */
    List<Update> take(int most, int times) {
        if (items.isEmpty() || most <= 0) {
            return List.of();
        }
        List<Item> order = new ArrayList<>(items.values());
        order.sort(Comparator.comparingInt(item -> item.sent));
        List<Update> result = new ArrayList<>();
        for (Item item : order.subList(0, Math.min(most, order.size()))) {
            result.add(item.update);
            if (++item.sent >= times) {
                items.remove(key(item.update));
            }
        }
        return result;
    }

    int size() {
        return items.size();
    }

    void describe(StringBuilder to) {
        items.values()
                .forEach(i -> to.append(i.update.id())
                        .append(i.update.state())
                        .append(i.update.incarnation())
                        .append(i.sent));
    }
}
