package calicovale.manager.viewers;

import java.util.List;

/**
 * The bounds and times of viewers' connections.
 *
 * @param mostLinks connections held at once
 * @param speakMs a connection that has brought nothing of use by then is closed
 * @param classes the classes of session, in the settings' order
 * @param mostWaitMs for each class: the longest that a viewer may say it waits
 * @param cells cells that a title's first may be one of; 0: not checked
 * @param rungs rungs of the ladder
 */
public record ViewerSettings(int mostLinks, double speakMs, List<String> classes, List<Double> mostWaitMs, int cells, int rungs) {
}
