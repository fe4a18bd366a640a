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
 * Owns one session manager's settings, checked whole.
 *
 * @param controller what the controller is started with
 * @param seed of the controller's random source
 * @param classNames class names in the controller's order
 * @param tenantNames tenant names in the controller's order
 * @param titles titles that only some cells hold; all boxes hold the others
 * @param listen where players are served
 * @param directory where the box directory is
 * @param savedList file of the list kept over a restart, or null
 * @param bounds bounds of tables
 * @param times waits
 * @param playlist the shape of session playlists
 * @param http bounds of HTTP with players and boxes
 * @param loop bounds of the loop
 * @param operators where operators are served, or null
 * @param changesFolder folder of the log of programme changes, or null: they are not kept over a restart
 * @param changesWatch folder whose documents are told as they come and withdrawn as they go, or null
 * @param changeKeys keys of which one must have signed a document; without any all are taken
 * @param sessionsFolder folder of the sessions' ledger, or null: sessions end with the process
 * @param viewerKey key of the cookies by which viewers carry what they were shown between managers, or null
 * @param crossOrigin the pages that may read what players are answered
 * @param gossip this manager's place in a group, or null: it talks to no other manager and opens no socket for it
 * @param interstitials whether pieces go to players as interstitials
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
        SessionPlaylist.Shape playlist,
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

    /** Whether pieces go to players as HLS interstitials: to none, to those that ask for it, or to all. */
    public enum Interstitials {
        NEVER,
        ASKED,
        ALWAYS
    }

    /** Cells in a row that hold a title. */
    public record Holders(int homeCell, int span) {}

    /**
     * Bounds of tables.
     *
     * @param sessions sessions held
     * @param pending requests without an answer
     * @param connections connections of players
     * @param perBox connections to one box
     * @param sources source playlists kept
     * @param boxes boxes known
     * @param changes programme changes known
     * @param shown times that a change was shown which are remembered
     * @param plansPerTurn sessions looked at in one turn of the loop when a change is told
     * @param watched documents in the watched folder
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
     * Waits, all in ms.
     *
     * @param answerMargin the last answer is given so long before a viewer's time is up
     * @param connect for a connection to a box to stand
     * @param lease for which a box keeps a set-up that is not confirmed
     * @param silent without a beat after which a stream counts as dead
     * @param lost without any contact to a box after which its sessions count as lost
     * @param backoff first wait before a stream is tried again
     * @param backoffMost longest such wait
     * @param clockEvery between readings of the common clock
     * @param endedKept for which a session's playlist is still given after its end
     * @param source for a box to give a lecture's playlist
     * @param drain at most from the call to end until the end
     * @param stitchWait a reload waits at most so long for the disk, or for a box that is asked for a piece
     * @param holders for which it holds that a box has or lacks a piece
     * @param foundKept for which sessions of the process before may come back
     * @param alive between two notes in the ledger that the process runs
     * @param watch between two looks at the watched folder
     */
    public record Times(
            double answerMargin,
            double connect,
            double lease,
            double silent,
            double lost,
            double backoff,
            double backoffMost,
            double clockEvery,
            double endedKept,
            double source,
            double drain,
            double stitchWait,
            double holders,
            double foundKept,
            double alive,
            double watch) {}

    /** Reads a file and checks it whole. */
    public static FrontSettings read(Path file) throws InvalidDocumentException {
        return of(file.toString(), Documents.read(file, FrontSettings.class, "front.schema.json"));
    }

    /** Checks a text whole. */
    public static FrontSettings parse(String name, String text) throws InvalidDocumentException {
        return of(name, Documents.check(name, text, FrontSettings.class, "front.schema.json"));
    }

    private static FrontSettings of(String name, JsonNode n) throws InvalidDocumentException {
        List<String> faults = new ArrayList<>();
        JsonNode media = n.get("media");
        int rungs = media.get("rungKb").size();
        if (media.get("rungWorth").size() != rungs) {
            faults.add(name + ": /media/rungWorth: as many as in /media/rungKb are expected (" + rungs + ")");
        }
        for (int i = 1; i < rungs; i++) {
            if (media.get("rungKb").get(i).asDouble()
                    <= media.get("rungKb").get(i - 1).asDouble()) {
                faults.add(name + ": /media/rungKb/" + i + ": a rate above the one before is expected");
            }
        }
        JsonNode manager = n.get("manager");
        if (manager.get("number").asInt() >= manager.get("of").asInt()) {
            faults.add(name + ": /manager/number: a number below /manager/of is expected");
        }
        List<String> classNames = new ArrayList<>();
        List<SessionClass> classes = new ArrayList<>();
        for (int i = 0; i < n.get("classes").size(); i++) {
            JsonNode c = n.get("classes").get(i);
            String at = name + ": /classes/" + i;
            if (classNames.contains(c.get("name").asText())) {
                faults.add(at + "/name: a name that no other class has is expected");
            }
            classNames.add(c.get("name").asText());
            int low = c.get("lowestRung").asInt();
            int high = c.get("highestRung").asInt();
            if (high >= rungs) {
                faults.add(at + "/highestRung: a rung of the ladder is expected (0 to " + (rungs - 1) + ")");
            }
            if (low > high) {
                faults.add(at + "/lowestRung: at most /highestRung is expected");
            }
            classes.add(new SessionClass(
                    c.get("worth").asDouble(),
                    c.get("aimMs").asDouble(),
                    c.get("deadlineMs").asDouble(),
                    Effect.valueOf(upper(c, "effect", "pure")),
                    Group.valueOf(upper(c, "group", "all")),
                    num(c, "tokenMs", 0),
                    low,
                    high,
                    num(c, "scale", 1),
                    c.path("live").asBoolean(),
                    c.path("seats").asInt()));
        }
        List<String> tenantNames = new ArrayList<>();
        List<Tenant> tenants = new ArrayList<>();
        for (JsonNode t : n.path("tenants")) {
            tenantNames.add(t.get("name").asText());
            tenants.add(new Tenant(num(t, "quotaPerSecond", 0)));
        }
        JsonNode times = n.path("times");
        Times waits = new Times(
                num(times, "answerMarginMs", 40),
                num(times, "connectMs", 500),
                num(times, "leaseMs", 1500),
                num(times, "silentMs", 3000),
                num(times, "lostMs", 5000),
                num(times, "backoffMs", 200),
                num(times, "backoffMostMs", 5000),
                num(times, "clockEveryMs", 1000),
                num(times, "endedKeptMs", 30_000),
                num(times, "sourceMs", 1000),
                num(times, "drainMs", 10_000),
                num(times, "stitchWaitMs", 300),
                num(times, "holdersMs", 60_000),
                num(times, "foundKeptMs", 120_000),
                num(times, "aliveMs", 1000),
                num(times, "watchMs", 1000));
        if (waits.backoffMost() < waits.backoff()) {
            faults.add(name + ": /times/backoffMostMs: at least /times/backoffMs is expected");
        }
        ChangeKeys changeKeys = ChangeKeys.ANYONE;
        Map<String, String> keyTexts = new LinkedHashMap<>();
        n.path("changeKeys")
                .properties()
                .forEach(e -> keyTexts.put(e.getKey(), e.getValue().asText()));
        try {
            changeKeys = ChangeKeys.of(keyTexts);
        } catch (IllegalArgumentException e) {
            faults.add(name + ": /changeKeys/" + e.getMessage());
        }
        CrossOrigin crossOrigin = CrossOrigin.DISABLED;
        try {
            crossOrigin = crossOrigin(n.path("crossOrigin"));
        } catch (IllegalArgumentException e) {
            faults.add(name
                    + ": /crossOrigin/origins: named origins are expected with /crossOrigin/credentials or beside others,"
                    + " " + e.getMessage());
        }
        GossipSettings gossip = null;
        try {
            gossip = n.has("gossip") ? GossipSettings.parse(name + ": /gossip", n.get("gossip")) : null;
        } catch (InvalidDocumentException e) {
            faults.addAll(e.faults());
        }
        if (n.has("changesWatch") && !n.has("operators")) {
            faults.add(name + ": /operators: an address is expected with /changesWatch");
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        JsonNode limits = n.get("limits");
        JsonNode rules = n.get("rules");
        Limits may = new Limits(
                limits.get("attempts").asInt(),
                limits.get("retryAfterMs").asDouble(),
                false,
                false,
                limits.path("cancel").asBoolean(true));
        Rules figures = new Rules(
                rules.get("coldFrom").asDouble(),
                rules.get("warmAfterMs").asDouble(),
                rules.get("tipMultiple").asDouble(),
                rules.get("tipMs").asDouble(),
                rules.get("drainGraceMs").asDouble(),
                num(rules, "extraFree", -1),
                num(rules, "extraRatio", 0),
                num(rules, "extraWindowMs", 0),
                0);
        Media ladder = new Media(
                numbers(media.get("rungKb")),
                numbers(media.get("rungWorth")),
                media.path("cells").asInt(),
                media.path("racks").asInt(),
                media.get("linkKbPerWeight").asDouble(),
                num(media, "uplinkKb", 0),
                numbers(media.get("kindStreams")),
                num(media, "join", 1),
                num(media, "fullFrom", 0),
                num(media, "missingCost", 0),
                num(media, "changeCostS", 0),
                media.get("noteDelayMs").asDouble(),
                media.get("noteEveryMs").asDouble());
        ReportMode reports =
                n.path("reports").asText("with_outcomes").equals("none") ? ReportMode.NONE : ReportMode.WITH_OUTCOMES;
        ControllerApi.Settings settings = new ControllerApi.Settings(
                manager.get("number").asInt(),
                manager.get("of").asInt(),
                manager.path("zone").asInt(),
                classes,
                tenants,
                num(n, "overShareWorth", 1),
                may,
                figures,
                ladder,
                reports,
                false,
                num(n, "worstClassWeight", 0),
                num(n, "moveCost", 0),
                num(n, "zoneCost", 0),
                0);
        JsonNode b = n.path("bounds");
        Bounds bounds = new Bounds(
                b.path("sessions").asInt(20_000),
                b.path("pending").asInt(5000),
                b.path("connections").asInt(50_000),
                b.path("perBox").asInt(256),
                b.path("sources").asInt(2000),
                b.path("boxes").asInt(1000),
                b.path("changes").asInt(100),
                b.path("shown").asInt(200_000),
                b.path("plansPerTurn").asInt(250),
                b.path("watched").asInt(1000));
        JsonNode p = n.path("playlist");
        Map<String, Holders> titles = new HashMap<>();
        Map<String, JsonNode> named = new LinkedHashMap<>();
        n.path("titles").properties().forEach(e -> named.put(e.getKey(), e.getValue()));
        named.forEach((title, t) -> titles.put(
                title, new Holders(t.get("homeCell").asInt(), t.get("span").asInt())));
        JsonNode d = n.get("directory");
        return new FrontSettings(
                settings,
                manager.path("seed").asLong(1),
                List.copyOf(classNames),
                List.copyOf(tenantNames),
                Map.copyOf(titles),
                address(n.get("listen")),
                address(d),
                d.has("savedList") ? Path.of(d.get("savedList").asText()) : null,
                bounds,
                waits,
                new SessionPlaylist.Shape(
                        p.path("ahead").asInt(3),
                        p.path("behind").asInt(3),
                        p.path("targetS").asInt()),
                http(n.path("http"), bounds.connections()),
                loop(n.path("loop")),
                n.has("operators") ? address(n.get("operators")) : null,
                folder(n, "changesFolder"),
                folder(n, "changesWatch"),
                changeKeys,
                folder(n, "sessionsFolder"),
                n.has("viewerKey") ? HexFormat.of().parseHex(n.get("viewerKey").asText()) : null,
                crossOrigin,
                gossip,
                Interstitials.valueOf(upper(n, "interstitials", "never")));
    }

    private static Path folder(JsonNode n, String key) {
        return n.has(key) ? Path.of(n.get(key).asText()) : null;
    }

    /** Headers of answers that a player's page reads. */
    private static final List<String> EXPOSED = List.of("Calicovale-Session", "Retry-After", "Date");
    /** Headers that a player's page sends: CMCD (CTA-5004), ranges, and what fetch adds to reload. */
    private static final List<String> REQUESTED =
            List.of("CMCD-Object", "CMCD-Request", "CMCD-Session", "CMCD-Status", "Range", "Cache-Control");

    private static CrossOrigin crossOrigin(JsonNode n) {
        Set<String> origins = new LinkedHashSet<>();
        n.path("origins").forEach(origin -> origins.add(origin.asText()));
        return new CrossOrigin(
                origins,
                n.path("credentials").asBoolean(),
                n.path("maxAgeS").asInt(600),
                EXPOSED,
                REQUESTED,
                List.of("GET", "HEAD"));
    }

    private static HttpLimits http(JsonNode n, int connections) {
        HttpLimits d = HttpLimits.DEFAULT;
        return new HttpLimits(
                n.path("lineBytes").asInt(d.lineBytes()),
                n.path("headerCount").asInt(d.headerCount()),
                n.path("headerBytes").asInt(d.headerBytes()),
                n.path("bodyBytes").asInt(d.bodyBytes()),
                n.path("pipelinedBytes").asInt(d.pipelinedBytes()),
                num(n, "headMs", d.headMs()),
                num(n, "bodyMs", d.bodyMs()),
                num(n, "idleMs", d.idleMs()),
                connections);
    }

    private static LoopLimits loop(JsonNode n) {
        LoopLimits d = LoopLimits.DEFAULT;
        return new LoopLimits(
                n.path("mailbox").asInt(d.mailbox()),
                n.path("readBytes").asInt(d.readBytes()),
                n.path("pendingBytes").asInt(d.pendingBytes()),
                n.path("backlog").asInt(d.backlog()),
                n.path("acceptsPerTurn").asInt(d.acceptsPerTurn()),
                n.path("datagramsPerTurn").asInt(d.datagramsPerTurn()));
    }

    private static String upper(JsonNode n, String key, String absent) {
        return n.path(key).asText(absent).toUpperCase(Locale.ROOT);
    }

    private static double num(JsonNode n, String key, double absent) {
        return n.path(key).asDouble(absent);
    }

    private static List<Double> numbers(JsonNode array) {
        List<Double> result = new ArrayList<>();
        array.forEach(v -> result.add(v.asDouble()));
        return List.copyOf(result);
    }

    private static InetSocketAddress address(JsonNode n) {
        return new InetSocketAddress(n.get("host").asText(), n.get("port").asInt());
    }
}
