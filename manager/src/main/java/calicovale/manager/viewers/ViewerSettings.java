package calicovale.manager.viewers;

import calicovale.protocols.net.ByteBudget;
import java.util.List;

/**
 * Bounds and timeouts of viewers' connections, and the accepted values of set-ups.
 *
 * @param maxLinks upper bound of connections
 * @param maxSetUpsPerLink upper bound of unanswered set-ups on one connection
 * @param setUpBytes bound of the bytes that all unanswered set-ups keep together
 * @param retryAfterMs time, in ms, after which a viewer refused by a bound may come back; 0: viewers take no such
 *     advice
 * @param validMessageTimeoutMs time, in ms, after which a connection is closed that has sent no valid message, or that
 *     has an incomplete message and no set-up that waits for its answer; also the time after which an incomplete
 *     message no longer delays the end of a drain
 * @param notReadingTimeoutMs time, in ms, after which a connection is closed on which too much waits to be written
 * @param classes names of the session classes, in the settings' order
 * @param maxWaitMsByClass for each class: the longest wait, in ms, that a viewer may state
 * @param cells number of cells, which bounds a title's home cell; 0: it is not checked
 * @param rungs number of rungs of the ladder
 */
public record ViewerSettings(
        int maxLinks,
        int maxSetUpsPerLink,
        ByteBudget setUpBytes,
        double retryAfterMs,
        double validMessageTimeoutMs,
        double notReadingTimeoutMs,
        List<String> classes,
        List<Double> maxWaitMsByClass,
        int cells,
        int rungs) {}
