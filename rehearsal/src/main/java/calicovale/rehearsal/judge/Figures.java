package calicovale.rehearsal.judge;

import calicovale.ControllerApi.Effect;
import java.util.List;

/**
 * The figures by which a run is judged.
 *
 * @param classes the classes of session
 * @param answerSlackMs time past a viewer's deadline in which an answer still counts
 * @param drainGraceMs nothing new to a box later than this after its drain was told
 * @param coldFrom part of its pace that a box takes right after a start
 * @param warmAfterMs until it is warm
 * @param tipMultiple it falls over when sent over this multiple of its pace
 * @param tipMs for this long
 * @param streams most streams of a box
 * @param extraFree further attempts always permitted; negative: no budget is stated
 * @param extraRatio further attempts permitted for each request taken
 * @param extraWindowMs over this time
 */
public record Figures(
        List<OfClass> classes,
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

    /** The figures of one class. */
    public record OfClass(String name, double worth, double deadlineMs, Effect effect, int lowestRung, int seats) {}

    /** A class's figures, or null. */
    public OfClass of(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst().orElse(null);
    }
}
