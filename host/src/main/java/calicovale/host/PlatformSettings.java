package calicovale.host;

import calicovale.ControllerApi.Effect;
import calicovale.ControllerApi.Group;
import calicovale.ControllerApi.Limits;
import calicovale.ControllerApi.Media;
import calicovale.ControllerApi.ReportMode;
import calicovale.ControllerApi.Rules;
import calicovale.ControllerApi.SessionClass;
import calicovale.ControllerApi.Settings;
import calicovale.ControllerApi.Tenant;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a platform as it states them, by one table of names for the simulator's wire and for JSON files.
 *
 * @param controller what the controller is told
 * @param classes names of the classes of session, in the settings' order
 * @param zones names of the zones
 * @param kinds names of the kinds of server
 * @param connectTimeoutMs a connection that does not stand within this time has failed
 * @param connIdleMs servers close connections that were idle for so long
 * @param mostHeld sessions that one manager may hold
 */
public record PlatformSettings(
        Settings controller,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        double connectTimeoutMs,
        double connIdleMs,
        int mostHeld) {

    /** Reads all of them; a fault is told to {@code f}. */
    public static PlatformSettings read(Values f) throws BadValueException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < f.integer("profiles.count", 0); i++) {
            names.add(f.text("profiles." + i + ".name", ""));
        }
        return new PlatformSettings(
                controller(f),
                List.copyOf(names),
                List.of(f.list("dcs")),
                List.of(f.list("kinds")),
                f.number("limits.connectTimeoutMs", 0),
                f.number("limits.connIdleMs", 0),
                f.integer("limits.mostHeld", 0));
    }

    /** What the controller is told. */
    public static Settings controller(Values f) throws BadValueException {
        List<SessionClass> classes = classes(f);
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < f.integer("parties.count", 0); i++) {
            tenants.add(new Tenant(f.number("parties." + i + ".quotaRps", 0)));
        }
        Limits limits = new Limits(
                f.integer("limits.sendCap", 0),
                f.flag("limits.retryAfter") ? f.number("limits.maxRetryAfterMs", 0) : 0,
                f.flag("limits.probes"),
                f.flag("limits.mayTell"),
                f.flag("limits.cancelling"));
        boolean budget = f.has("rules.extraFree") || f.has("rules.repeatRatio");
        Rules rules = new Rules(
                f.number("rules.coldFrom", 1),
                f.number("rules.warmAfterMs", 0),
                f.number("rules.tipMultiple", 1),
                f.number("rules.fallMs", 0),
                f.number("rules.drainGraceMs", 0),
                budget ? f.number("rules.extraFree", 0) : -1,
                f.number("rules.repeatRatio", 0),
                f.number("rules.countedOverMs", 0),
                f.number("rules.askEveryMs", 0));
        Media media = new Media(
                boxed(f.numbers("specifics.levelKb")),
                boxed(f.numbers("specifics.ladderWorth")),
                f.integer("specifics.positions", 0),
                f.integer("specifics.racks", 0),
                f.number("specifics.linkUnitKb", 0),
                f.number("specifics.rackLinkKb", 0),
                boxed(f.numbers("specifics.kindStreams")),
                f.number("specifics.join", 1),
                f.number("specifics.fullFrom", 0),
                f.number("specifics.shortfallCost", 0),
                f.number("specifics.switchS", 0),
                f.number("specifics.seeMs", 0),
                f.number("specifics.tellMs", 0));
        return new Settings(
                f.integer("me", 0),
                f.integer("replicasOfMe", 1),
                f.integer("az", 0),
                classes,
                tenants,
                f.number("overShareWorth", 1),
                limits,
                rules,
                media,
                reports(f),
                choice(f, "discovery", "push", "push", "ask") == 1,
                f.number("scoringMix.worstClass", 0),
                f.number("costs.moves", 0),
                f.number("costs.crossZone", 0),
                f.number("costs.probe", 0));
    }

    private static List<SessionClass> classes(Values f) throws BadValueException {
        double[] lowest = f.numbers("specifics.lowestRung");
        double[] highest = f.numbers("specifics.highestRung");
        double[] scale = f.numbers("specifics.scaleByClass");
        double[] seats = f.numbers("specifics.seats");
        String[] live = f.list("specifics.classLive");
        int rungs = f.numbers("specifics.levelKb").length;
        List<SessionClass> result = new ArrayList<>();
        for (int i = 0; i < f.integer("profiles.count", 0); i++) {
            String at = "profiles." + i + ".";
            Effect effect = Effect.values()[choice(f, at + "effect", "pure", "pure", "token", "side_effect")];
            Group group = Group.values()[choice(f, at + "group", "all", "all", "zone", "cell")];
            result.add(new SessionClass(
                    f.number(at + "gain", 1),
                    f.number(at + "aimMs", 0),
                    f.number(at + "deadlineMs", 0),
                    effect,
                    group,
                    f.number(at + "keyTtlMs", 0),
                    (int) at(lowest, i, 0),
                    (int) at(highest, i, rungs - 1),
                    at(scale, i, 1),
                    i < live.length && live[i].equals("true"),
                    (int) at(seats, i, 0)));
        }
        return result;
    }

    private static ReportMode reports(Values f) throws BadValueException {
        return ReportMode.values()[choice(f, "report.how", "silent", "piggyback", "pull", "silent")];
    }

    private static double at(double[] values, int i, double absent) {
        return i < values.length ? values[i] : absent;
    }

    private static List<Double> boxed(double[] values) {
        List<Double> result = new ArrayList<>();
        for (double value : values) {
            result.add(value);
        }
        return List.copyOf(result);
    }

    private static int choice(Values f, String key, String absent, String... words) throws BadValueException {
        String value = f.text(key, absent);
        for (int i = 0; i < words.length; i++) {
            if (words[i].equals(value)) {
                return i;
            }
        }
        f.fault("'" + key + "' is '" + value + "', not one of " + String.join(", ", words));
        return 0;
    }
}
