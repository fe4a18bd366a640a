package calicovale.gossip.member;

import java.util.HashSet;
import java.util.Set;

/**
 * The timeout of one suspicion (Lifeguard, section 4.B). It starts long and becomes shorter with each independent
 * confirmation, so that a single member that is itself slow cannot have another declared dead soon.
 */
final class Suspicion {
    private final double startMs;
    private final double minTimeoutMs;
    private final double maxTimeoutMs;
    private final int expectedConfirmations;
    private final Set<String> confirmers = new HashSet<>();
    private final String firstReporter;

    /**
     * Creates a suspicion whose timeout shrinks from {@code maxTimeoutMs} to {@code minTimeoutMs} with
     * {@code expectedConfirmations} confirmations beside the first reporter; with 0 it is {@code minTimeoutMs} from the
     * start of the suspicion.
     */
    Suspicion(
            String firstReporter, double startMs, double minTimeoutMs, double maxTimeoutMs, int expectedConfirmations) {
        this.firstReporter = firstReporter;
        this.startMs = startMs;
        this.minTimeoutMs = minTimeoutMs;
        this.maxTimeoutMs = maxTimeoutMs;
        this.expectedConfirmations = expectedConfirmations;
    }

    /**
     * Adds a confirmation; returns false if the member has reported the suspicion before or enough members have
     * confirmed it.
     */
    boolean confirm(String reporter) {
        return !reporter.equals(firstReporter) && confirmers.size() < expectedConfirmations && confirmers.add(reporter);
    }

    /** Returns whether a member raised or confirmed the suspicion. */
    boolean isReportedBy(String reporter) {
        return firstReporter.equals(reporter) || confirmers.contains(reporter);
    }

    /** Returns the member that raised the suspicion if no other has confirmed it, otherwise null. */
    String unconfirmedReporter() {
        return confirmers.isEmpty() ? firstReporter : null;
    }

    /** Returns the time at which the suspicion times out, in ms. */
    double endMs() {
        if (expectedConfirmations < 1) {
            return startMs + minTimeoutMs;
        }
        double shorteningFraction = Math.log(confirmers.size() + 1.0) / Math.log(expectedConfirmations + 1.0);
        return startMs + Math.max(minTimeoutMs, maxTimeoutMs - shorteningFraction * (maxTimeoutMs - minTimeoutMs));
    }
}
