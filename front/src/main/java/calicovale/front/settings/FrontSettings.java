package calicovale.front.settings;

import calicovale.ControllerApi;
import calicovale.ControllerApi.Effect;
import calicovale.ControllerApi.Group;
import calicovale.ControllerApi.Limits;
import calicovale.ControllerApi.Media;
import calicovale.ControllerApi.ReportMode;
import calicovale.ControllerApi.Rules;
import calicovale.ControllerApi.SessionClass;
import calicovale.ControllerApi.Tenant;
import calicovale.front.playlist.SessionPlaylist;
import calicovale.gossip.net.GossipSettings;
import calicovale.protocols.http.CrossOrigin;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.LoopLimits;
import calicovale.stitch.ChangeKeys;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The validated settings of one session manager. The JSON Schema {@code front.schema.json} names their keys and ranges.
 *
 * @param controller the settings of the controller
 * @param seed seed of the controller's random source
 * @param classNames class names in the controller's order
 * @param tenantNames tenant names in the controller's order
 * @param titles the cells of those titles that only some cells hold; all boxes hold the others
 * @param listen address of the server for players
 * @param directory address of the box directory
 * @param savedList file in which the box list is saved for a restart, or null
 * @param bounds upper bounds of tables
 * @param times timeouts and intervals
 * @param playlist the shape of session playlists
 * @param http limits of HTTP messages and connections with players and boxes
 * @param loop limits of the event loop
 * @param operators address of the server for operators, or null for none
 * @param changesFolder folder of the log of programme changes, or null if they do not survive a restart
 * @param changesWatch watched folder, whose documents are added as changes when they appear and withdrawn when they
 *     are removed, or null
 * @param changeKeys keys of which one must have signed a change; if there are none, all changes are accepted
 * @param sessionsFolder folder of the session ledger, or null if sessions do not survive a restart
 * @param viewerKey key of the cookies that carry from manager to manager what a viewer was shown, or null
 * @param crossOrigin which origins' pages may read the responses to players
 * @param gossip settings of this manager's membership of a gossip group, or null if it has no contact with other
 *     managers and opens no socket for it
 * @param interstitials to which players pieces are sent as interstitials
 */
public record FrontSettings(
        ControllerApi.Settings controller,
        long seed,
        List<String> classNames,
        List<String> tenantNames,
        Map<String, Holders> titles,
        InetSocketAddress listen,
        InetSocketAddress directory,
        Path savedList,
        Bounds bounds,
        Times times,
        SessionPlaylist.WindowShape playlist,
        HttpLimits http,
        LoopLimits loop,
        InetSocketAddress operators,
        Path changesFolder,
        Path changesWatch,
        ChangeKeys changeKeys,
        Path sessionsFolder,
        byte[] viewerKey,
        CrossOrigin crossOrigin,
        GossipSettings gossip,
        Interstitials interstitials) {

    /** To which players pieces are sent as HLS interstitials: to none, to those that ask for it, or to all. */
    public enum Interstitials {
        NEVER,
        ASKED,
        ALWAYS
    }

    /** Consecutive cells that hold a title: {@code span} cells from {@code homeCell} on. */
    public record Holders(int homeCell, int span) {}

    /**
     * Upper bounds of tables.
     *
     * @param sessions number of sessions held
     * @param pending number of requests without a response
     * @param connections number of connections of players
     * @param perBox number of connections to one box
     * @param sources number of source playlists cached
     * @param boxes number of boxes in the list
     * @param changes number of programme changes
     * @param shown number of showings of changes that are remembered
     * @param plansPerTurn number of sessions whose candidate changes are recomputed in one turn of the loop after a
     *     programme change was added, withdrawn or has expired
     * @param watched number of documents in the watched folder
     */
    public record Bounds(
            int sessions,
            int pending,
            int connections,
            int perBox,
            int sources,
            int boxes,
            int changes,
            int shown,
            int plansPerTurn,
            int watched) {}

    /**
     * Timeouts and intervals, all in ms.
     *
     * @param answerMarginMs time before the end of a viewer's waiting time at which a request is answered at the latest
     * @param connectMs timeout of a connection to a box, and of a reading of the common clock
     * @param leaseMs lease for which a box keeps a set-up that is not confirmed
     * @param silentMs time without any received byte after which an event stream is considered dead
     * @param lostMs time without contact to a box after which its sessions are considered lost
     * @param backoffMs upper bound of the delay before the first reconnection of an event stream
     * @param backoffMostMs upper bound of the delay before any reconnection of an event stream; also the minimum
     *     interval between two set-up requests for one piece of a session
     * @param clockEveryMs interval between readings of the common clock
     * @param endedKeptMs time after a session's end for which its playlist is still served
     * @param sourceMs timeout for fetching a lecture's or a piece's playlist from a box
     * @param drainMs upper bound of the duration of a drain
     * @param stitchWaitMs upper bound of a reload's wait for the disk, or for a box's answer on whether it has a piece
     * @param holdersMs time for which it is cached whether a box holds a piece
     * @param foundKeptMs time after the start for which sessions of the previous process may return
     * @param aliveMs interval between two notes in the session ledger that the process is running
     * @param watchMs interval between two scans of the watched folder
     */
    public record Times(
            double answerMarginMs,
            double connectMs,
            double leaseMs,
            double silentMs,
            double lostMs,
            double backoffMs,
            double backoffMostMs,
            double clockEveryMs,
            double endedKeptMs,
            double sourceMs,
            double drainMs,
            double stitchWaitMs,
            double holdersMs,
            double foundKeptMs,
            double aliveMs,
            double watchMs) {}

    /**
     * Reads and validates a file.
     *
     * @throws InvalidDocumentException if the file cannot be read or is not valid; names all faults
     */
    public static FrontSettings read(Path file) throws InvalidDocumentException {
        return readSettings(file.toString(), Documents.read(file, FrontSettings.class, "front.schema.json"));
    }

    /**
     * Parses and validates a text.
     *
     * @param name name of the document, with which each fault begins
     * @throws InvalidDocumentException if the text is not valid; names all faults
     */
    public static FrontSettings parse(String name, String text) throws InvalidDocumentException {
        return readSettings(name, Documents.check(name, text, FrontSettings.class, "front.schema.json"));
    }

    private static FrontSettings readSettings(String name, JsonNode root) throws InvalidDocumentException {
        List<String> faults = new ArrayList<>();
        JsonNode mediaNode = root.get("media");
        int rungs = mediaNode.get("rungKb").size();
        if (mediaNode.get("rungWorth").size() != rungs) {
            faults.add(name + ": /media/rungWorth: as many values as in /media/rungKb are expected (" + rungs + ")");
        }
        for (int i = 1; i < rungs; i++) {
            if (mediaNode.get("rungKb").get(i).asDouble()
                    <= mediaNode.get("rungKb").get(i - 1).asDouble()) {
                faults.add(name + ": /media/rungKb/" + i + ": a rate above that of the rung before is expected");
            }
        }
        JsonNode managerNode = root.get("manager");
        if (managerNode.get("number").asInt() >= managerNode.get("of").asInt()) {
            faults.add(name + ": /manager/number: a number below /manager/of is expected");
        }
        List<String> classNames = new ArrayList<>();
        List<SessionClass> classes = new ArrayList<>();
        for (int i = 0; i < root.get("classes").size(); i++) {
            JsonNode classNode = root.get("classes").get(i);
            String location = name + ": /classes/" + i;
            if (classNames.contains(classNode.get("name").asText())) {
                faults.add(location + "/name: a name that no other class has is expected");
            }
            classNames.add(classNode.get("name").asText());
            int lowestRung = classNode.get("lowestRung").asInt();
            int highestRung = classNode.get("highestRung").asInt();
            if (highestRung >= rungs) {
                faults.add(location + "/highestRung: a rung of the ladder is expected (0 to " + (rungs - 1) + ")");
            }
            if (lowestRung > highestRung) {
                faults.add(location + "/lowestRung: a rung that is not above the class's highestRung is expected");
            }
            classes.add(new SessionClass(
                    classNode.get("worth").asDouble(),
                    classNode.get("aimMs").asDouble(),
                    classNode.get("deadlineMs").asDouble(),
                    Effect.valueOf(enumName(classNode, "effect", "pure")),
                    Group.valueOf(enumName(classNode, "group", "all")),
                    number(classNode, "tokenMs", 0),
                    lowestRung,
                    highestRung,
                    number(classNode, "scale", 1),
                    classNode.path("live").asBoolean(),
                    classNode.path("seats").asInt()));
        }
        List<String> tenantNames = new ArrayList<>();
        List<Tenant> tenants = new ArrayList<>();
        for (JsonNode tenantNode : root.path("tenants")) {
            tenantNames.add(tenantNode.get("name").asText());
            tenants.add(new Tenant(number(tenantNode, "quotaPerSecond", 0)));
        }
        JsonNode timesNode = root.path("times");
        Times times = new Times(
                number(timesNode, "answerMarginMs", 40),
                number(timesNode, "connectMs", 500),
                number(timesNode, "leaseMs", 1500),
                number(timesNode, "silentMs", 3000),
                number(timesNode, "lostMs", 5000),
                number(timesNode, "backoffMs", 200),
                number(timesNode, "backoffMostMs", 5000),
                number(timesNode, "clockEveryMs", 1000),
                number(timesNode, "endedKeptMs", 30_000),
                number(timesNode, "sourceMs", 1000),
                number(timesNode, "drainMs", 10_000),
                number(timesNode, "stitchWaitMs", 300),
                number(timesNode, "holdersMs", 60_000),
                number(timesNode, "foundKeptMs", 120_000),
                number(timesNode, "aliveMs", 1000),
                number(timesNode, "watchMs", 1000));
        if (times.backoffMostMs() < times.backoffMs()) {
            faults.add(name + ": /times/backoffMostMs: at least /times/backoffMs is expected");
        }
        ChangeKeys changeKeys = ChangeKeys.ANYONE;
        Map<String, String> keyTexts = new LinkedHashMap<>();
        root.path("changeKeys")
                .properties()
                .forEach(e -> keyTexts.put(e.getKey(), e.getValue().asText()));
        try {
            changeKeys = ChangeKeys.of(keyTexts);
        } catch (IllegalArgumentException e) {
            faults.add(name + ": /changeKeys/" + e.getMessage());
        }
        CrossOrigin crossOrigin = CrossOrigin.DISABLED;
        try {
            crossOrigin = crossOrigin(root.path("crossOrigin"));
        } catch (IllegalArgumentException e) {
            faults.add(
                    name + ": /crossOrigin/origins: * alone and without /crossOrigin/credentials, or a list of origins,"
                            + " is expected");
        }
        GossipSettings gossip = null;
        try {
            gossip = root.has("gossip") ? GossipSettings.parse(name + ": /gossip", root.get("gossip")) : null;
        } catch (InvalidDocumentException e) {
            faults.addAll(e.faults());
        }
        if (root.has("changesWatch") && !root.has("operators")) {
            faults.add(name + ": /operators: an address is expected if /changesWatch is set");
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        JsonNode limitsNode = root.get("limits");
        JsonNode rulesNode = root.get("rules");
        Limits limits = new Limits(
                limitsNode.get("attempts").asInt(),
                limitsNode.get("retryAfterMs").asDouble(),
                false,
                false,
                limitsNode.path("cancel").asBoolean(true));
        Rules rules = new Rules(
                rulesNode.get("coldFrom").asDouble(),
                rulesNode.get("warmAfterMs").asDouble(),
                rulesNode.get("tipMultiple").asDouble(),
                rulesNode.get("tipMs").asDouble(),
                rulesNode.get("drainGraceMs").asDouble(),
                number(rulesNode, "extraFree", -1),
                number(rulesNode, "extraRatio", 0),
                number(rulesNode, "extraWindowMs", 0),
                0);
        Media media = new Media(
                numbers(mediaNode.get("rungKb")),
                numbers(mediaNode.get("rungWorth")),
                mediaNode.path("cells").asInt(),
                mediaNode.path("racks").asInt(),
                mediaNode.get("linkKbPerWeight").asDouble(),
                number(mediaNode, "uplinkKb", 0),
                numbers(mediaNode.get("kindStreams")),
                number(mediaNode, "join", 1),
                number(mediaNode, "fullFrom", 0),
                number(mediaNode, "missingCost", 0),
                number(mediaNode, "changeCostS", 0),
                mediaNode.get("noteDelayMs").asDouble(),
                mediaNode.get("noteEveryMs").asDouble());
        ReportMode reports = root.path("reports").asText("with_outcomes").equals("none")
                ? ReportMode.NONE
                : ReportMode.WITH_OUTCOMES;
        ControllerApi.Settings controllerSettings = new ControllerApi.Settings(
                managerNode.get("number").asInt(),
                managerNode.get("of").asInt(),
                managerNode.path("zone").asInt(),
                classes,
                tenants,
                number(root, "overShareWorth", 1),
                limits,
                rules,
                media,
                reports,
                false,
                number(root, "worstClassWeight", 0),
                number(root, "moveCost", 0),
                number(root, "zoneCost", 0),
                0);
        JsonNode boundsNode = root.path("bounds");
        Bounds bounds = new Bounds(
                boundsNode.path("sessions").asInt(20_000),
                boundsNode.path("pending").asInt(5000),
                boundsNode.path("connections").asInt(50_000),
                boundsNode.path("perBox").asInt(256),
                boundsNode.path("sources").asInt(2000),
                boundsNode.path("boxes").asInt(1000),
                boundsNode.path("changes").asInt(100),
                boundsNode.path("shown").asInt(200_000),
                boundsNode.path("plansPerTurn").asInt(250),
                boundsNode.path("watched").asInt(1000));
        JsonNode playlistNode = root.path("playlist");
        Map<String, Holders> titles = new HashMap<>();
        Map<String, JsonNode> titleNodes = new LinkedHashMap<>();
        root.path("titles").properties().forEach(e -> titleNodes.put(e.getKey(), e.getValue()));
        titleNodes.forEach((title, cells) -> titles.put(
                title,
                new Holders(cells.get("homeCell").asInt(), cells.get("span").asInt())));
        JsonNode directoryNode = root.get("directory");
        return new FrontSettings(
                controllerSettings,
                managerNode.path("seed").asLong(1),
                List.copyOf(classNames),
                List.copyOf(tenantNames),
                Map.copyOf(titles),
                address(root.get("listen")),
                address(directoryNode),
                directoryNode.has("savedList")
                        ? Path.of(directoryNode.get("savedList").asText())
                        : null,
                bounds,
                times,
                new SessionPlaylist.WindowShape(
                        playlistNode.path("ahead").asInt(3),
                        playlistNode.path("behind").asInt(3),
                        playlistNode.path("targetS").asInt()),
                http(root.path("http"), bounds.connections()),
                loop(root.path("loop")),
                root.has("operators") ? address(root.get("operators")) : null,
                folder(root, "changesFolder"),
                folder(root, "changesWatch"),
                changeKeys,
                folder(root, "sessionsFolder"),
                root.has("viewerKey")
                        ? HexFormat.of().parseHex(root.get("viewerKey").asText())
                        : null,
                crossOrigin,
                gossip,
                Interstitials.valueOf(enumName(root, "interstitials", "never")));
    }

    private static Path folder(JsonNode parent, String key) {
        return parent.has(key) ? Path.of(parent.get(key).asText()) : null;
    }

    /** Response headers that a player's page may read. */
    private static final List<String> EXPOSED_HEADERS = List.of("Calicovale-Session", "Retry-After", "Date");
    /**
     * Request headers that a player's page may send: CMCD (CTA-5004), Range, and Cache-Control, which fetch adds
     * to a reload.
     */
    private static final List<String> ALLOWED_REQUEST_HEADERS =
            List.of("CMCD-Object", "CMCD-Request", "CMCD-Session", "CMCD-Status", "Range", "Cache-Control");

    private static CrossOrigin crossOrigin(JsonNode node) {
        Set<String> origins = new LinkedHashSet<>();
        node.path("origins").forEach(origin -> origins.add(origin.asText()));
        return new CrossOrigin(
                origins,
                node.path("credentials").asBoolean(),
                node.path("maxAgeS").asInt(600),
                EXPOSED_HEADERS,
                ALLOWED_REQUEST_HEADERS,
                List.of("GET", "HEAD"));
    }

    private static HttpLimits http(JsonNode node, int connections) {
        HttpLimits defaults = HttpLimits.DEFAULT;
        return new HttpLimits(
                node.path("lineBytes").asInt(defaults.lineBytes()),
                node.path("headerCount").asInt(defaults.headerCount()),
                node.path("headerBytes").asInt(defaults.headerBytes()),
                node.path("bodyBytes").asInt(defaults.bodyBytes()),
                node.path("pipelinedBytes").asInt(defaults.pipelinedBytes()),
                number(node, "headMs", defaults.headMs()),
                number(node, "bodyMs", defaults.bodyMs()),
                number(node, "idleMs", defaults.idleMs()),
                connections);
    }

    private static LoopLimits loop(JsonNode node) {
        LoopLimits defaults = LoopLimits.DEFAULT;
        return new LoopLimits(
                node.path("mailbox").asInt(defaults.mailbox()),
                node.path("readBytes").asInt(defaults.readBytes()),
                node.path("pendingBytes").asInt(defaults.pendingBytes()),
                node.path("totalPendingBytes").asLong(defaults.totalPendingBytes()),
                node.path("backlog").asInt(defaults.backlog()),
                node.path("acceptsPerTurn").asInt(defaults.acceptsPerTurn()),
                node.path("datagramsPerTurn").asInt(defaults.datagramsPerTurn()));
    }

    /** Returns the upper-case form of a key's text, as {@code valueOf} of its enum takes it. */
    private static String enumName(JsonNode parent, String key, String defaultValue) {
        return parent.path(key).asText(defaultValue).toUpperCase(Locale.ROOT);
    }

    private static double number(JsonNode parent, String key, double defaultValue) {
        return parent.path(key).asDouble(defaultValue);
    }

    private static List<Double> numbers(JsonNode array) {
        List<Double> result = new ArrayList<>();
        array.forEach(value -> result.add(value.asDouble()));
        return List.copyOf(result);
    }

    private static InetSocketAddress address(JsonNode node) {
        return new InetSocketAddress(node.get("host").asText(), node.get("port").asInt());
    }
}
