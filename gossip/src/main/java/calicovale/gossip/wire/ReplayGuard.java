package calicovale.gossip.wire;

import java.util.HashMap;
import java.util.Map;

/**
 * Rejects replayed messages. For each key it accepts only the latest epoch, and each sequence number of that epoch only
 * once, by a sliding window (RFC 4303, section 3.4.3). When there is no room for a new sender, senders are removed
 * that were silent for the retention time, after which their recorded messages are too old to be accepted.
 */
final class ReplayGuard {
    /** Length of the window in sequence numbers; a message that is that far behind the highest is rejected. */
    private static final int WINDOW_MESSAGES = 1024;

    private static final class Sender {
        long epoch = Long.MIN_VALUE;
        long highest;
        final long[] received = new long[WINDOW_MESSAGES / 64];
        double lastMessageMs;
    }

    private final Map<Long, Sender> senders = new HashMap<>();
    private final int maxSenders;
    private final double retentionMs;

    ReplayGuard(int maxSenders, double retentionMs) {
        this.maxSenders = maxSenders;
        this.retentionMs = retentionMs;
    }

    /** Returns whether a message may be new. It is called before the signature is verified, so it changes nothing. */
    boolean mayBeNew(long keyId, long epoch, long sequence) {
        Sender sender = senders.get(keyId);
        if (sender == null || epoch > sender.epoch) {
            return true;
        }
        return epoch == sender.epoch
                && (sequence > sender.highest
                        || sender.highest - sequence < WINDOW_MESSAGES && !isReceived(sender, sequence));
    }

    private static boolean isReceived(Sender sender, long sequence) {
        int bit = (int) Math.floorMod(sequence, (long) WINDOW_MESSAGES);
        return (sender.received[bit / 64] & 1L << bit % 64) != 0;
    }

    /** Records a verified message; returns false if there is no room for its sender. */
    boolean accept(long keyId, long epoch, long sequence, double nowMs) {
        Sender sender = senders.get(keyId);
        if (sender == null) {
            if (senders.size() >= maxSenders) {
                senders.values().removeIf(old -> nowMs - old.lastMessageMs > retentionMs);
            }
            if (senders.size() >= maxSenders) {
                return false;
            }
            sender = new Sender();
            senders.put(keyId, sender);
        }
        sender.lastMessageMs = nowMs;
        if (epoch > sender.epoch) {
            sender.epoch = epoch;
            sender.highest = sequence;
            java.util.Arrays.fill(sender.received, 0);
        } else if (sequence > sender.highest) {
            if (sequence - sender.highest >= WINDOW_MESSAGES) {
                java.util.Arrays.fill(sender.received, 0);
            } else {
                for (long i = sender.highest + 1; i < sequence; i++) {
                    int bit = (int) Math.floorMod(i, (long) WINDOW_MESSAGES);
                    sender.received[bit / 64] &= ~(1L << bit % 64);
                }
            }
            sender.highest = sequence;
        }
        int bit = (int) Math.floorMod(sequence, (long) WINDOW_MESSAGES);
        sender.received[bit / 64] |= 1L << bit % 64;
        return true;
    }
}
