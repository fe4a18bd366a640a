package calicovale.rehearsal.judge;

import calicovale.ControllerApi.Effect;
import java.util.List;

/**
 * Parameters of the rules by which a run is judged.
 *
 * @param classes the session classes
 * @param answerSlackMs time after a viewer's deadline, in ms, in which an answer still counts as in time
 * @param drainGraceMs time after the announcement of a box's drain, in ms, in which a manager may still send it set-ups
 * @param coldFrom share of its full pace of set-ups that a box accepts right after its start, 0 to 1
 * @param warmAfterMs time from a box's start until it accepts its full pace, in ms
 * @param tipMultiple multiple of its present pace above which a box crashes from overload
 * @param tipMs length of the window over which that pace is measured, in ms
 * @param streams largest number of concurrent streams of a box
 * @param extraFree further attempts that are permitted without any request; negative when there is no attempt budget
 * @param extraRatio further attempts permitted for each request taken
 * @param extraWindowMs length of the window over which further attempts and requests are counted, in ms
 */
public record RuleParameters(
        List<ClassParameters> classes,
        double answerSlackMs,
        double drainGraceMs,
        double coldFrom,
        double warmAfterMs,
        double tipMultiple,
        double tipMs,
        double streams,
        double extraFree,
        double extraRatio,
        double extraWindowMs) {

    /**
     * Parameters of one session class.
     *
     * @param name the class's name
     * @param worth worth of one session of this class
     * @param deadlineMs time after the request within which a viewer needs its answer, in ms
     * @param effect what a set-up of this class causes; a set-up with a side effect must not be repeated
     * @param lowestRung floor: the lowest rung that a session of this class may be shown
     * @param seats largest number of concurrent sessions of one title at a manager; 0 or less: unlimited
     */
    public record ClassParameters(
            String name, double worth, double deadlineMs, Effect effect, int lowestRung, int seats) {}

    /** Returns the parameters of the class with this name, or null when there is none. */
    public ClassParameters classNamed(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst().orElse(null);
    }
}
