package calicovale.manager.viewers;

import java.util.List;

/**
 * The bounds and times of viewers' connections.
 *
 * @param maxLinks connections held at once
 * @param maxSetUpsPerLink set-ups that one connection may have open at once
 * @param retryAfterMs how long to stay away for who is refused by a bound; 0: viewers take no advice
 * @param validMessageTimeoutMs a connection that has brought nothing of use by then is closed
 * @param classes the classes of session, in the settings' order
 * @param maxWaitMsByClass for each class: the longest that a viewer may say it waits
 * @param cells cells that a title's first may be one of; 0: not checked
 * @param rungs rungs of the ladder
 */
public record ViewerSettings(
        int maxLinks,
        int maxSetUpsPerLink,
        double retryAfterMs,
        double validMessageTimeoutMs,
        List<String> classes,
        List<Double> maxWaitMsByClass,
        int cells,
        int rungs) {}
