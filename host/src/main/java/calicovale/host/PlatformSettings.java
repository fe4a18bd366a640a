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
 * The settings of a platform. The keys are the same on the bench's wire and in JSON files.
 *
 * @param controller settings of the session controller
 * @param classes names of the session classes, in the order of the settings
 * @param zones names of the zones
 * @param kinds names of the kinds of server
 * @param connectTimeoutMs time after which an attempt to connect has failed, in ms; 0: not stated
 * @param connectionIdleMs time after which servers close an idle connection, in ms; 0: they never do
 * @param maxSessions upper bound of the sessions that one manager may hold; 0: no limit is stated
 */
public record PlatformSettings(
        Settings controller,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        double connectTimeoutMs,
        double connectionIdleMs,
        int maxSessions) {

    /** Reads all settings; invalid values go to {@link KeyedValues#reportFault}. */
    public static PlatformSettings read(KeyedValues values) throws InvalidValueException {
        List<String> classNames = new ArrayList<>();
        for (int i = 0; i < values.nonNegativeInt("profiles.count", 0); i++) {
            classNames.add(values.text("profiles." + i + ".name", ""));
        }
        return new PlatformSettings(
                readController(values),
                List.copyOf(classNames),
                List.of(values.list("dcs")),
                List.of(values.list("kinds")),
                values.number("limits.connectTimeoutMs", 0),
                values.number("limits.connIdleMs", 0),
                values.nonNegativeInt("limits.mostHeld", 0));
    }

    /** Reads the settings of the session controller; invalid values go to {@link KeyedValues#reportFault}. */
    public static Settings readController(KeyedValues values) throws InvalidValueException {
        List<SessionClass> classes = readClasses(values);
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < values.nonNegativeInt("parties.count", 0); i++) {
            tenants.add(new Tenant(values.number("parties." + i + ".quotaRps", 0)));
        }
        Limits limits = new Limits(
                values.nonNegativeInt("limits.sendCap", 0),
                values.flag("limits.retryAfter") ? values.number("limits.maxRetryAfterMs", 0) : 0,
                values.flag("limits.probes"),
                values.flag("limits.mayTell"),
                values.flag("limits.cancelling"));
        // without either value, no budget for further attempts is set, which the controller expects as -1
        boolean hasAttemptBudget = values.has("rules.extraFree") || values.has("rules.repeatRatio");
        Rules rules = new Rules(
                values.number("rules.coldFrom", 1),
                values.number("rules.warmAfterMs", 0),
                values.number("rules.tipMultiple", 1),
                values.number("rules.fallMs", 0),
                values.number("rules.drainGraceMs", 0),
                hasAttemptBudget ? values.number("rules.extraFree", 0) : -1,
                values.number("rules.repeatRatio", 0),
                values.number("rules.countedOverMs", 0),
                values.number("rules.askEveryMs", 0));
        Media media = new Media(
                toList(values.numbers("specifics.levelKb")),
                toList(values.numbers("specifics.ladderWorth")),
                values.nonNegativeInt("specifics.positions", 0),
                values.nonNegativeInt("specifics.racks", 0),
                values.number("specifics.linkUnitKb", 0),
                values.number("specifics.rackLinkKb", 0),
                toList(values.numbers("specifics.kindStreams")),
                values.number("specifics.join", 1),
                values.number("specifics.fullFrom", 0),
                values.number("specifics.shortfallCost", 0),
                values.number("specifics.switchS", 0),
                values.number("specifics.seeMs", 0),
                values.number("specifics.tellMs", 0));
        return new Settings(
                values.nonNegativeInt("me", 0),
                values.nonNegativeInt("replicasOfMe", 1),
                values.nonNegativeInt("az", 0),
                classes,
                tenants,
                values.number("overShareWorth", 1),
                limits,
                rules,
                media,
                readReportMode(values),
                indexOfChoice(values, "discovery", "push", "push", "ask") == 1,
                values.number("scoringMix.worstClass", 0),
                values.number("costs.moves", 0),
                values.number("costs.crossZone", 0),
                values.number("costs.probe", 0));
    }

    private static List<SessionClass> readClasses(KeyedValues values) throws InvalidValueException {
        double[] lowestRungs = values.numbers("specifics.lowestRung");
        double[] highestRungs = values.numbers("specifics.highestRung");
        double[] scales = values.numbers("specifics.scaleByClass");
        double[] seats = values.numbers("specifics.seats");
        String[] liveFlags = values.list("specifics.classLive");
        int rungCount = values.numbers("specifics.levelKb").length;
        List<SessionClass> result = new ArrayList<>();
        for (int i = 0; i < values.nonNegativeInt("profiles.count", 0); i++) {
            String keyPrefix = "profiles." + i + ".";
            Effect effect = Effect.values()[
                    indexOfChoice(values, keyPrefix + "effect", "pure", "pure", "token", "side_effect")];
            Group group = Group.values()[indexOfChoice(values, keyPrefix + "group", "all", "all", "zone", "cell")];
            result.add(new SessionClass(
                    values.number(keyPrefix + "gain", 1),
                    values.number(keyPrefix + "aimMs", 0),
                    values.number(keyPrefix + "deadlineMs", 0),
                    effect,
                    group,
                    values.number(keyPrefix + "keyTtlMs", 0),
                    (int) elementOrDefault(lowestRungs, i, 0),
                    (int) elementOrDefault(highestRungs, i, rungCount - 1),
                    elementOrDefault(scales, i, 1),
                    i < liveFlags.length && liveFlags[i].equals("true"),
                    (int) elementOrDefault(seats, i, 0)));
        }
        return result;
    }

    private static ReportMode readReportMode(KeyedValues values) throws InvalidValueException {
        return ReportMode.values()[indexOfChoice(values, "report.how", "silent", "piggyback", "pull", "silent")];
    }

    private static double elementOrDefault(double[] values, int index, double defaultValue) {
        return index < values.length ? values[index] : defaultValue;
    }

    private static List<Double> toList(double[] values) {
        List<Double> result = new ArrayList<>();
        for (double value : values) {
            result.add(value);
        }
        return List.copyOf(result);
    }

    /** Returns the position of a value among {@code choices}, or 0 after reporting that it is none of them. */
    private static int indexOfChoice(KeyedValues values, String key, String defaultChoice, String... choices)
            throws InvalidValueException {
        String value = values.text(key, defaultChoice);
        for (int i = 0; i < choices.length; i++) {
            if (choices[i].equals(value)) {
                return i;
            }
        }
        values.reportFault("'" + key + "' is '" + value + "'; accepted values: " + String.join(", ", choices));
        return 0;
    }
}
