package calicovale.rehearsal.day;

import calicovale.front.settings.FrontSettings;
import calicovale.protocols.http.CrossOrigin;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.standin.BoxSettings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A scripted day, as read from a day file.
 *
 * @param name name of the day
 * @param seconds time for which viewers arrive, in seconds
 * @param seed seed of all random numbers
 * @param service settings that all managers share, as JSON, without those that {@link #settings(int, int, int, List,
 *        Path)} adds
 * @param settings the same settings, parsed and validated with placeholders for what differs between managers
 * @param managers number of session managers
 * @param gossip gossip settings that all managers share, or null if the managers exchange no gossip
 * @param skewMs error of each manager's wall clock in ms, by manager number; managers beyond the list have none
 * @param boxes properties of the boxes
 * @param directoryLagMs delay with which the directory publishes changes of its list, in ms
 * @param directoryStartsAtS time at which the directory starts, in seconds from the start of the run
 * @param viewers the viewers that arrive
 * @param changes programme changes and withdrawals that operators send
 * @param faults faults that are injected
 */
public record Day(
        String name,
        double seconds,
        long seed,
        ObjectNode service,
        FrontSettings settings,
        int managers,
        ObjectNode gossip,
        List<Double> skewMs,
        Boxes boxes,
        double directoryLagMs,
        double directoryStartsAtS,
        Viewers viewers,
        List<ScriptedChange> changes,
        List<Fault> faults) {

    /**
     * Properties of the boxes.
     *
     * @param count number of boxes
     * @param maxStreams maximum number of sessions and set-ups of a box
     * @param linkKb mean link capacity of a box, in kB/s
     * @param linkSpread largest deviation of a box's link capacity from the mean, as a fraction of the mean
     * @param setUpMs mean duration of a set-up, in ms
     * @param segmentS duration of a generated segment, in seconds
     * @param segments number of segments of a generated lecture
     * @param idleMs time without a segment request after which a session ends, in ms
     * @param graceMs time without the manager's event stream after which a session ends, in ms
     * @param uplinkNotes whether notes of the rack's uplink utilization are sent too
     * @param pieces number of segments of generated pieces, by title
     * @param boxesWithPieces boxes that hold the pieces; empty if all do
     * @param crossOrigin origins of the pages that may read segments
     * @param content folder of HLS content, or null if content is generated
     */
    public record Boxes(
            int count,
            double maxStreams,
            double linkKb,
            double linkSpread,
            double setUpMs,
            double segmentS,
            int segments,
            double idleMs,
            double graceMs,
            boolean uplinkNotes,
            Map<String, Integer> pieces,
            List<Integer> boxesWithPieces,
            CrossOrigin crossOrigin,
            String content) {}

    /**
     * The viewers that arrive.
     *
     * @param arrivalsPerSecond mean rate of arrivals outside surges
     * @param titles number of different lectures
     * @param returnProbability probability that a viewer returns after a refusal or an interruption
     * @param returnDelayRangeMs lowest and highest delay before a viewer returns, in ms
     * @param impatientProbability probability that a viewer gives up early on a request for a lecture
     * @param impatientTimeoutRangeMs lowest and highest time after which such a viewer gives up, in ms
     * @param surges times with a different rate of arrivals
     * @param classes classes of the viewers
     */
    public record Viewers(
            double arrivalsPerSecond,
            int titles,
            double returnProbability,
            double[] returnDelayRangeMs,
            double impatientProbability,
            double[] impatientTimeoutRangeMs,
            List<Surge> surges,
            List<ViewerClass> classes) {}

    /** A time during which the rate of arrivals is multiplied by {@code rateFactor}; times in seconds of the day. */
    public record Surge(double startS, double durationS, double rateFactor) {}

    /**
     * Viewers of one class.
     *
     * @param name name of the session class
     * @param relativeWeight share of the viewers, relative to the sum over all classes
     * @param watchTimeRangeS lowest and highest time for which a viewer stays, in seconds
     * @param topRungs highest rungs that viewers ask for, one chosen at random; empty for the highest of the class
     */
    public record ViewerClass(String name, double relativeWeight, double[] watchTimeRangeS, List<Integer> topRungs) {}

    /**
     * A programme change that operators send, or withdraw, at a time of the day.
     *
     * @param atS time in seconds of the day
     * @param managers numbers of the managers to which it is sent; empty for all
     * @param change document of the change, or null for a withdrawal
     * @param startsInS delay in seconds from sending to the start of the change, which replaces the document's start
     *        and end; NaN to leave them as they are
     * @param withdrawId id of the change to be withdrawn, or null
     */
    public record ScriptedChange(
            double atS, List<Integer> managers, ObjectNode change, double startsInS, String withdrawId) {}

    /**
     * A fault; components that its kind does not use are ignored.
     *
     * @param kind kind of the fault, as in the day file
     * @param atS time at which it begins, in seconds of the day
     * @param durationS time after which it ends, in seconds, 0 for a fault that is not undone; for a deploy, how long
     *        each box drains
     * @param boxes ids of the boxes concerned
     * @param rack number of the rack concerned
     * @param manager number of the manager concerned
     * @param value strength of the fault; its unit depends on the kind
     * @param ignorePeerClosed whether boxes that hang do not notice closed connections
     */
    public record Fault(
            String kind,
            double atS,
            double durationS,
            List<Integer> boxes,
            int rack,
            int manager,
            double value,
            boolean ignorePeerClosed) {}

    /**
     * Reads and validates a day file.
     *
     * @throws InvalidDocumentException if the file cannot be read or is not valid; names all faults
     */
    public static Day read(Path file) throws InvalidDocumentException {
        return of(file.toString(), Documents.read(file, Day.class, "day.schema.json"));
    }

    /**
     * Parses and validates the text of a day file.
     *
     * @param name name of the document, with which faults begin
     * @throws InvalidDocumentException if the text is not valid; names all faults
     */
    public static Day parse(String name, String text) throws InvalidDocumentException {
        return of(name, Documents.check(name, text, Day.class, "day.schema.json"));
    }

    /** Returns the same day with another seed. */
    public Day withSeed(long newSeed) {
        return new Day(
                name,
                seconds,
                newSeed,
                service,
                settings,
                managers,
                gossip,
                skewMs,
                boxes,
                directoryLagMs,
                directoryStartsAtS,
                viewers,
                changes,
                faults);
    }

    private static void addGossipSettings(
            ObjectNode service, ObjectNode sharedGossip, int managerNumber, List<String> seeds, Path stateFolder) {
        ObjectNode gossipSettings = sharedGossip.deepCopy();
        gossipSettings
                .put("group", "day")
                .put("member", "m" + managerNumber)
                .put(
                        "keyFile",
                        stateFolder.resolve("m" + managerNumber + ".key").toString())
                .put("rosterFolder", stateFolder.resolve("roster").toString());
        gossipSettings.putObject("listen").put("host", "127.0.0.1").put("port", 0);
        seeds.forEach(gossipSettings.putArray("seeds")::add);
        service.set("gossip", gossipSettings);
    }

    /**
     * Returns the settings of one manager: the shared settings and those that differ between managers.
     *
     * @param managerNumber number of the manager, from 0
     * @param listenPort port for players
     * @param directoryPort port of the box directory
     * @param seeds gossip addresses of other managers, as {@code host:port}
     * @param stateFolder folder below which managers keep state across restarts
     */
    public FrontSettings settings(
            int managerNumber, int listenPort, int directoryPort, List<String> seeds, Path stateFolder) {
        ObjectNode managerSettings = service.deepCopy();
        managerSettings
                .putObject("manager")
                .put("number", managerNumber)
                .put("of", managers)
                .put("seed", seed * 1000 + managerNumber);
        managerSettings.putObject("listen").put("host", "127.0.0.1").put("port", listenPort);
        ObjectNode directorySettings =
                managerSettings.putObject("directory").put("host", "127.0.0.1").put("port", directoryPort);
        directorySettings.put(
                "savedList",
                stateFolder.resolve("list-" + managerNumber + ".json").toString());
        if (gossip != null) {
            addGossipSettings(managerSettings, gossip, managerNumber, seeds, stateFolder);
        }
        // each manager has its own subfolder for its persistent state
        for (String folder : List.of("changesFolder", "sessionsFolder")) {
            if (managerSettings.has(folder)) {
                managerSettings.put(
                        folder,
                        stateFolder
                                .resolve(managerSettings.get(folder).asText())
                                .resolve("m" + managerNumber)
                                .toString());
            }
        }
        try {
            return FrontSettings.parse("service", managerSettings.toString());
        } catch (InvalidDocumentException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Day of(String name, JsonNode document) throws InvalidDocumentException {
        List<String> faults = new ArrayList<>();
        ObjectNode serviceWithPlaceholders = document.get("service").deepCopy();
        for (String key : List.of("manager", "listen", "directory", "gossip")) {
            if (serviceWithPlaceholders.has(key)) {
                faults.add(name + ": /service/" + key + ": this key must be absent, because the rehearsal sets it");
            }
        }
        int managers = document.get("managers").get("count").asInt();
        serviceWithPlaceholders.putObject("manager").put("number", 0).put("of", managers);
        serviceWithPlaceholders.putObject("listen").put("host", "127.0.0.1").put("port", 0);
        serviceWithPlaceholders.putObject("directory").put("host", "127.0.0.1").put("port", 1);
        ObjectNode sharedGossip = (ObjectNode) document.get("managers").get("gossip");
        if (sharedGossip != null) {
            addGossipSettings(serviceWithPlaceholders, sharedGossip, 0, List.of(), Path.of("state"));
        }
        FrontSettings settings = null;
        try {
            settings = FrontSettings.parse(name + ": /service", serviceWithPlaceholders.toString());
        } catch (InvalidDocumentException e) {
            faults.addAll(e.faults());
        }
        JsonNode boxSettings = document.get("boxes");
        int count = boxSettings.get("count").asInt();
        Boxes boxes = new Boxes(
                count,
                boxSettings.get("streams").asDouble(),
                boxSettings.get("linkKb").asDouble(),
                boxSettings.path("linkSpread").asDouble(),
                boxSettings.path("setUpMs").asDouble(20),
                boxSettings.path("segmentS").asDouble(2),
                boxSettings.path("segments").asInt(20),
                boxSettings.path("idleMs").asDouble(8000),
                boxSettings.path("graceMs").asDouble(4000),
                boxSettings.path("uplinkNotes").asBoolean(),
                BoxSettings.pieces(boxSettings.path("pieces")),
                integers(boxSettings.path("piecesOn")),
                BoxSettings.crossOrigin(boxSettings.path("origins")),
                boxSettings.path("content").asText(null));
        JsonNode viewerSettings = document.get("viewers");
        List<ViewerClass> viewerClasses = new ArrayList<>();
        for (int i = 0; i < viewerSettings.get("classes").size(); i++) {
            JsonNode classSettings = viewerSettings.get("classes").get(i);
            List<Integer> topRungs = new ArrayList<>();
            classSettings.path("tops").forEach(top -> topRungs.add(top.asInt()));
            viewerClasses.add(new ViewerClass(
                    classSettings.get("name").asText(),
                    classSettings.get("part").asDouble(),
                    rangeOrDefault(classSettings, "seconds", 10, 20),
                    topRungs));
            if (settings != null) {
                int classId =
                        settings.classNames().indexOf(classSettings.get("name").asText());
                if (classId < 0) {
                    faults.add(name + ": /viewers/classes/" + i + "/name: a class of /service/classes is expected");
                } else if (topRungs.stream()
                        .anyMatch(top -> top
                                < document.get("service")
                                        .get("classes")
                                        .get(classId)
                                        .get("lowestRung")
                                        .asInt())) {
                    faults.add(
                            name + ": /viewers/classes/" + i + "/tops: rungs from the class's lowest on are expected");
                }
            }
        }
        List<Surge> surges = new ArrayList<>();
        viewerSettings
                .path("surges")
                .forEach(s -> surges.add(new Surge(
                        s.get("at").asDouble(),
                        s.get("for").asDouble(),
                        s.get("times").asDouble())));
        List<Fault> scriptedFaults = new ArrayList<>();
        for (int i = 0; i < document.path("faults").size(); i++) {
            JsonNode faultSettings = document.get("faults").get(i);
            List<Integer> boxIds = integers(faultSettings.path("boxes"));
            if (boxIds.stream().anyMatch(box -> box >= count)) {
                faults.add(name + ": /faults/" + i + "/boxes: numbers below " + count + " are expected");
            }
            if (faultSettings.path("manager").asInt() >= managers) {
                faults.add(name + ": /faults/" + i + "/manager: a number below " + managers + " is expected");
            }
            scriptedFaults.add(new Fault(
                    faultSettings.get("kind").asText(),
                    faultSettings.get("at").asDouble(),
                    faultSettings.path("for").asDouble(),
                    boxIds,
                    faultSettings.path("rack").asInt(),
                    faultSettings.path("manager").asInt(),
                    faultSettings.path("value").asDouble(),
                    faultSettings.path("deaf").asBoolean()));
        }
        List<ScriptedChange> scriptedChanges = new ArrayList<>();
        for (int i = 0; i < document.path("changes").size(); i++) {
            JsonNode changeSettings = document.get("changes").get(i);
            List<Integer> managerNumbers = integers(changeSettings.path("managers"));
            if (managerNumbers.stream().anyMatch(m -> m >= managers)) {
                faults.add(name + ": /changes/" + i + "/managers: numbers below " + managers + " are expected");
            }
            if (changeSettings.has("change") == changeSettings.has("withdraw")) {
                faults.add(name + ": /changes/" + i + ": one of change and withdraw is expected");
            }
            scriptedChanges.add(new ScriptedChange(
                    changeSettings.get("at").asDouble(),
                    managerNumbers,
                    (ObjectNode) changeSettings.get("change"),
                    changeSettings.path("startsInS").asDouble(Double.NaN),
                    changeSettings.path("withdraw").asText(null)));
        }
        if (!scriptedChanges.isEmpty() && !serviceWithPlaceholders.has("operators")) {
            faults.add(name + ": /service/operators: an address is expected with /changes");
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        List<Double> skewsMs = new ArrayList<>();
        document.get("managers").path("skewMs").forEach(ms -> skewsMs.add(ms.asDouble()));
        JsonNode directorySettings = document.path("directory");
        return new Day(
                document.get("name").asText(),
                document.get("seconds").asDouble(),
                document.path("seed").asLong(1),
                (ObjectNode) document.get("service"),
                settings,
                managers,
                sharedGossip,
                skewsMs,
                boxes,
                directorySettings.path("lagMs").asDouble(500),
                directorySettings.path("startsAtS").asDouble(),
                new Viewers(
                        viewerSettings.get("perSecond").asDouble(),
                        viewerSettings.path("titles").asInt(20),
                        viewerSettings.path("comeAgain").asDouble(0.9),
                        rangeOrDefault(viewerSettings, "comeAgainMs", 1000, 3000),
                        viewerSettings.path("impatient").asDouble(),
                        rangeOrDefault(viewerSettings, "impatientMs", 5, 200),
                        surges,
                        viewerClasses),
                scriptedChanges,
                scriptedFaults);
    }

    private static List<Integer> integers(JsonNode array) {
        List<Integer> result = new ArrayList<>();
        array.forEach(v -> result.add(v.asInt()));
        return List.copyOf(result);
    }

    private static double[] rangeOrDefault(JsonNode object, String key, double defaultLow, double defaultHigh) {
        return object.has(key)
                ? new double[] {
                    object.get(key).get(0).asDouble(), object.get(key).get(1).asDouble()
                }
                : new double[] {defaultLow, defaultHigh};
    }
}
