package calicovale.standin;

import calicovale.protocols.http.BodyStream;
import calicovale.protocols.http.ByteRange;
import calicovale.protocols.http.EventStream;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.http.HttpServer;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import calicovale.standin.BoxModel.Held;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns one stand-in media box on a loop: set-ups, segments paced by its link, streams of news, and its faults. Each start is
 * a new process in all that others can see: sessions, tokens and streams of the one before are gone. All calls are made on
 * the loop.
 */
public final class MediaBox {
    private static final Logger LOG = LoggerFactory.getLogger(MediaBox.class);
    private static final double PACE_MS = 40;
    /** Between two tellings of the segments that were delivered whole. */
    private static final double SERVED_MS = 250;
    /** Most times its own rate that one transfer gets while the link has room. */
    private static final double BURST = 3;

    private static final int MOST_PENDING = 1 << 18;

    /** The faults of a box; each holds until it is set back. */
    public static final class Faults {
        /** Accepts and reads, but never answers; what it was asked it does when the fault ends. */
        public boolean hang;
        /** While it hangs it does not notice either that peers have gone. */
        public boolean deaf;
        /** Set-ups take so many times longer. */
        public double slow = 1;
        /** Part of the set-ups that fail fast. */
        public double errors;
        /** Part of the set-ups' answers that are cut by a reset. */
        public double resets;
        /** Load reports are so much later. */
        public double reportLateMs;
        /** Streams are neither written nor closed: the connection is half open. */
        public boolean mute;
    }

    private final EventLoop loop;
    private final BoxSettings settings;
    private final Rack rack;
    private final RandomGenerator random;
    private final Lectures lectures;
    private final Faults faults = new Faults();
    private InetSocketAddress address;
    private Process process;
    private boolean fallen;
    private int starts;

    /** A box that is down until {@link #start}. */
    public MediaBox(EventLoop loop, BoxSettings settings, Rack rack, RandomGenerator random) {
        this.loop = loop;
        this.settings = settings;
        this.rack = rack;
        this.random = random;
        this.lectures = new Lectures(settings);
        this.address = settings.listen();
    }

    /** Its settings. */
    public BoxSettings settings() {
        return settings;
    }

    /** Its faults. */
    public Faults faults() {
        return faults;
    }

    /** Whether it was pushed over while cold; it then stays down. */
    public boolean fallen() {
        return fallen;
    }

    /** Where it listens, or listened last. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether its process runs. */
    public boolean running() {
        return process != null;
    }

    /** Sessions and set-ups held. */
    public int held() {
        return process == null ? 0 : process.model.all().size();
    }

    /** Divides its link; 1 ends the fault. */
    public void sagLink(double times) {
        if (process != null) {
            process.model.sag(times);
        }
    }

    /** Starts its process, on the port that it had before; {@code cold}: it must warm up. Returns its address. */
    public InetSocketAddress start(boolean cold) throws IOException {
        if (process != null || fallen) {
            return address;
        }
        process = new Process(cold ? loop.clock().millis() : 0);
        try {
            address = process.server.listen(address);
        } catch (IOException e) {
            process = null;
            throw e;
        }
        process.begin();
        return address;
    }

    /** Ends its process at once: every connection is reset. */
    public void crash() {
        if (process != null) {
            Process last = process;
            process = null;
            last.server.stopListening();
            loop.resetAll(last.name);
            rack.ask(settings.id(), 0);
        }
    }

    /** Resets every connection; the process stays. */
    public void resetConnections() {
        if (process != null) {
            loop.resetAll(process.name);
        }
    }

    /** Takes up what was held back by a hang. */
    public void wake() {
        faults.hang = false;
        faults.deaf = false;
        if (process != null) {
            List<Runnable> held = new ArrayList<>(process.hung);
            process.hung.clear();
            held.forEach(Runnable::run);
        }
    }

    private record Report(double at, double use, double uplink) {}

    private static final class Transfer {
        final Held held;
        final String path;
        final BodyStream out;
        final byte[] content;
        final boolean last;
        final double rateKb;
        int sent;
        double credit;

        Transfer(Held held, String path, BodyStream out, byte[] content, boolean last, double rateKb) {
            this.held = held;
            this.path = path;
            this.out = out;
            this.content = content;
            this.last = last;
            this.rateKb = rateKb;
        }
    }

    /** One process of the box. */
    private final class Process {
        private final String name;
        private final String incarnation;
        private final BoxModel model;
        private final HttpServer server;
        private final Map<String, BodyStream> streams = new LinkedHashMap<>();
        private final Set<Transfer> transfers = new LinkedHashSet<>();
        private final ArrayDeque<Report> reports = new ArrayDeque<>();
        private final List<Runnable> hung = new ArrayList<>();
        /** By manager and session the last segment delivered whole that was not told yet. */
        private final Map<String, Map<String, String>> served = new LinkedHashMap<>();

        Process(double startedMs) {
            name = "box:" + settings.id();
            incarnation = settings.id() + "-" + ++starts + "-" + Long.toString(random.nextLong() >>> 24, 36);
            model = new BoxModel(settings, rack, startedMs);
            HttpLimits d = HttpLimits.DEFAULT;
            server = new HttpServer(loop, name, d, this::handle).crossOrigin(settings.crossOrigin());
        }

        private boolean gone() {
            return process != this;
        }

        private double now() {
            return loop.clock().millis();
        }

        void begin() {
            every(PACE_MS, this::pace);
            every(settings.beatMs(), this::beat);
            every(SERVED_MS, this::tellServed);
            every(200, this::expire);
            every(settings.reportEveryMs(), this::refresh);
            every(settings.noteEveryMs(), this::tell);
            every(1000, this::tellShare);
            refresh();
        }

        private void every(double ms, Runnable body) {
            loop.schedule(ms, () -> {
                if (!gone()) {
                    body.run();
                    every(ms, body);
                }
            });
        }

        private void handle(Exchange x) {
            if (gone()) {
                return;
            }
            if (faults.hang) {
                // a box that did not notice its peer's going does what it was asked all the same, late
                boolean deaf = faults.deaf;
                hung.add(() -> {
                    if (deaf || !x.peerClosed()) {
                        route(x, deaf);
                    }
                });
                return;
            }
            route(x, false);
        }

        private void route(Exchange x, boolean ghost) {
            String path = x.head().path();
            String method = x.head().method();
            if (path.equals("/v1/sessions") && method.equals("POST")) {
                setUp(x, ghost);
            } else if (path.startsWith("/v1/sessions/") && method.equals("PUT")) {
                change(x, path.substring(13));
            } else if (path.startsWith("/v1/sessions/") && method.equals("DELETE")) {
                release(x, path.substring(13));
            } else if (path.equals("/v1/events") && method.equals("GET")) {
                events(x);
            } else if (path.startsWith("/v1/titles/") && method.equals("GET")) {
                source(x, path.substring(11).split("/"));
            } else if (path.startsWith("/s/") && method.equals("GET")) {
                segment(x, path.substring(3).split("/"));
            } else {
                x.problem(404, "Not Found", "no such resource");
            }
        }

        private Headers load() {
            double until = now() - faults.reportLateMs;
            Report seen = reports.peekFirst();
            for (Report r : reports) {
                seen = r.at() <= until ? r : seen;
            }
            return new Headers()
                    .add(
                            "endpoint-load-metrics",
                            "TEXT named_metrics.util=" + digits(Math.min(1, seen.use())) + ",named_metrics.x1="
                                    + digits(seen.uplink()));
        }

        private String digits(double value) {
            return String.format(Locale.ROOT, "%.4f", value);
        }

        private void refresh() {
            reports.addLast(new Report(now(), model.use(), model.uplinkUse()));
            while (reports.size() > 100) {
                reports.removeFirst();
            }
        }

        private void setUp(Exchange x, boolean ghost) {
            if (!model.arrive(now())) {
                fallen = true;
                LOG.warn("box {} was pushed over while cold", settings.id());
                crash();
                return;
            }
            if (random.nextDouble() < faults.errors) {
                x.problem(500, load(), "Internal Server Error", "a fault", "");
                return;
            }
            JsonNode n;
            double[] ladder;
            try {
                n = Documents.MAPPER.readTree(x.body());
                List<Double> rates = new ArrayList<>();
                n.path("ladderKb").forEach(kb -> rates.add(kb.asDouble()));
                ladder = rates.stream().mapToDouble(kb -> kb).toArray();
                int rung = n.path("rung").asInt(-1);
                if (rung < 0 || rung >= ladder.length || !n.path("key").asText().matches("[A-Za-z0-9.~_-]{1,100}")) {
                    throw new IllegalArgumentException("rung, ladderKb and key are expected");
                }
            } catch (IOException | IllegalArgumentException e) {
                x.problem(400, "Bad Request", e.getMessage());
                return;
            }
            String key = n.path("key").asText();
            if (model.get(key) != null) {
                x.problem(409, load(), "Conflict", "this attempt is known", "");
                return;
            }
            if (!lectures.holds(n.path("title").asText())) {
                x.problem(404, load(), "Not Found", "no such title here", "");
                return;
            }
            if (model.full()) {
                x.problem(429, load(), "Too Many Requests", "full", "");
                return;
            }
            byte[] secret = new byte[12];
            random.nextBytes(secret);
            String token = incarnation + "." + HexFormat.of().formatHex(secret);
            Held held = new Held(
                    key,
                    n.path("manager").asText(),
                    token,
                    n.path("title").asText(),
                    ladder,
                    n.path("rung").asInt());
            held.leaseUntil =
                    now() + settings.setUpMs() * faults.slow + n.path("leaseMs").asDouble(1000);
            held.askedAt = now();
            model.add(held);
            x.onPeerClosed(() -> {
                if (!ghost && !faults.deaf && !gone()) {
                    model.remove(held);
                }
            });
            double takes = settings.setUpMs() * faults.slow * (0.7 + 0.6 * random.nextDouble());
            loop.schedule(takes, () -> started(x, held));
        }

        private void started(Exchange x, Held held) {
            if (gone() || model.get(held.key) != held) {
                return;
            }
            if (x.peerClosed()) {
                // nobody hears that it plays: its lease ends it
                LOG.info("box {}: set-up {} came to play unheard", settings.id(), held.key);
                return;
            }
            if (faults.hang) {
                hung.add(() -> started(x, held));
                return;
            }
            if (random.nextDouble() < faults.resets) {
                model.remove(held);
                x.connection().write(ByteBuffer.wrap("HTTP/1.1 201 Crea".getBytes(StandardCharsets.ISO_8859_1)));
                x.connection().reset(new IOException("a fault"));
                return;
            }
            ObjectNode answer = Documents.MAPPER.createObjectNode().put("base", "/s/" + held.token + "/");
            x.respond(
                    201,
                    load().add("Content-Type", "application/json"),
                    answer.toString().getBytes(StandardCharsets.UTF_8));
        }

        private void change(Exchange x, String key) {
            Held held = model.get(key);
            if (held == null) {
                x.problem(404, "Not Found", "no such session");
                return;
            }
            try {
                JsonNode n = Documents.MAPPER.readTree(x.body());
                if (n.path("confirmed").asBoolean()) {
                    held.confirmed = true;
                    held.askedAt = now();
                    if (!streams.containsKey(held.manager)) {
                        held.managerGoneAt = now();
                    }
                }
                if (n.has("rung")) {
                    model.rung(held, n.path("rung").asInt(), n.path("change").asInt());
                }
                x.respond(204);
            } catch (IOException e) {
                x.problem(400, "Bad Request", "JSON is expected");
            }
        }

        private void release(Exchange x, String key) {
            Held held = model.get(key);
            if (held != null) {
                model.remove(held);
            }
            x.respond(204);
        }

        private void events(Exchange x) {
            String manager = x.head().queryParameter("manager");
            if (manager == null) {
                x.problem(400, "Bad Request", "manager is expected");
                return;
            }
            BodyStream out = x.stream(200, new Headers().add("Content-Type", "text/event-stream"));
            ObjectNode hello = Documents.MAPPER.createObjectNode().put("incarnation", incarnation);
            ArrayNode keys = hello.putArray("held");
            for (Held held : model.all()) {
                if (held.manager.equals(manager)) {
                    keys.add(held.key);
                    held.managerGoneAt = -1;
                }
            }
            BodyStream before = streams.put(manager, out);
            if (before != null) {
                before.end();
            }
            out.write(EventStream.event("hello", hello.toString()));
            x.onPeerClosed(() -> {
                if (streams.remove(manager, out)) {
                    orphan(manager);
                }
            });
        }

        private void orphan(String manager) {
            for (Held held : model.all()) {
                if (held.manager.equals(manager) && held.managerGoneAt < 0) {
                    held.managerGoneAt = now();
                }
            }
        }

        private void source(Exchange x, String[] parts) {
            try {
                boolean formed = parts.length == 2 && parts[1].matches("\\d{1,2}\\.m3u8");
                String text = !formed
                        ? null
                        : lectures.playlist(parts[0], Integer.parseInt(parts[1].substring(0, parts[1].length() - 5)));
                if (text == null) {
                    x.problem(404, "Not Found", "no such lecture here");
                } else {
                    x.respond(
                            200,
                            load().add("Content-Type", "application/vnd.apple.mpegurl"),
                            text.getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                x.problem(500, "Internal Server Error", "unreadable");
            }
        }

        private void segment(Exchange x, String[] parts) {
            // TOKEN/RUNG/FILE of the lecture, or TOKEN/p/PIECE/RUNG/FILE
            boolean piece = parts.length == 5 && parts[1].equals("p");
            Held held = parts.length == 3 || piece ? model.byToken(parts[0]) : null;
            if (held == null || !held.confirmed) {
                // the token is of another process, or its session is over
                x.problem(410, "Gone", "no such session here");
                return;
            }
            try {
                String at = parts[parts.length - 2];
                String file = parts[parts.length - 1];
                String title = piece ? parts[2] : held.title;
                int rung = at.matches("\\d{1,2}") ? Integer.parseInt(at) : -1;
                byte[] content = rung < 0 || rung >= held.ladderKb.length
                        ? null
                        : lectures.bytes(title, rung, file, held.ladderKb[rung]);
                if (content == null) {
                    x.problem(404, "Not Found", "no such segment");
                    return;
                }
                ByteRange range = ByteRange.of(x.head().headers().get("Range"), content.length);
                Headers headers = load().add("Accept-Ranges", "bytes");
                if (!range.whole()) {
                    headers.add("Content-Range", range.contentRange(content.length));
                }
                if (range.length() == 0) {
                    x.problem(
                            416,
                            headers,
                            "Range Not Satisfiable",
                            "a range within " + content.length + " bytes is expected",
                            "");
                    return;
                }
                byte[] part = range.whole()
                        ? content
                        : Arrays.copyOfRange(content, (int) range.first(), (int) (range.first() + range.length()));
                held.askedAt = now();
                held.sending++;
                BodyStream out =
                        x.stream(range.whole() ? 200 : 206, headers.add("Content-Type", "video/mp4"), part.length);
                // a part tells nothing of the whole
                String path =
                        range.whole() ? String.join("/", Arrays.asList(parts).subList(1, parts.length)) : null;
                boolean last = range.whole() && !piece && lectures.last(title, file);
                Transfer t = new Transfer(held, path, out, part, last, held.ladderKb[rung]);
                transfers.add(t);
                x.onPeerClosed(() -> {
                    if (transfers.remove(t)) {
                        held.sending--;
                        held.askedAt = now();
                    }
                });
            } catch (IOException e) {
                x.problem(500, "Internal Server Error", "unreadable");
            }
        }

        /** Gives each transfer its part of the link: all the same share of their rates. */
        private void pace() {
            if (transfers.isEmpty() || faults.hang) {
                return;
            }
            double asked = 0;
            for (Transfer t : transfers) {
                asked += t.rateKb;
            }
            double uplink = model.uplinkUse();
            double times = Math.min(BURST, model.linkKb() / Math.max(1, asked));
            if (uplink > 1) {
                times = Math.min(times, 1 / uplink);
            }
            if (model.use() > 1) {
                times = Math.min(times, 1 / model.use());
            }
            for (Transfer t : new ArrayList<>(transfers)) {
                t.credit += t.rateKb * times * PACE_MS;
                int room = MOST_PENDING - t.out.pendingBytes();
                int count = (int) Math.min(Math.min(t.credit, t.content.length - t.sent), Math.max(0, room));
                if (count > 0) {
                    t.credit -= count;
                    t.out.write(Arrays.copyOfRange(t.content, t.sent, t.sent + count));
                    t.sent += count;
                }
                t.credit = Math.min(t.credit, MOST_PENDING);
                if (t.sent == t.content.length && transfers.remove(t)) {
                    t.held.sending--;
                    t.held.askedAt = now();
                    t.out.end();
                    if (t.path != null) {
                        served.computeIfAbsent(t.held.manager, m -> new LinkedHashMap<>())
                                .put(t.held.key, t.path);
                    }
                    if (t.last && model.get(t.held.key) == t.held) {
                        end(t.held, "done");
                    }
                }
            }
        }

        private void end(Held held, String reason) {
            model.remove(held);
            BodyStream out = streams.get(held.manager);
            if (out != null && !faults.mute) {
                ObjectNode n = Documents.MAPPER
                        .createObjectNode()
                        .put("key", held.key)
                        .put("reason", reason)
                        .put("load", load().get("endpoint-load-metrics"));
                out.write(EventStream.event("ended", n.toString()));
            }
        }

        private void tellServed() {
            if (faults.mute || faults.hang) {
                return;
            }
            served.forEach((manager, last) -> {
                BodyStream out = streams.get(manager);
                if (out != null) {
                    ObjectNode n = Documents.MAPPER.createObjectNode();
                    ObjectNode of = n.putObject("last");
                    last.forEach(of::put);
                    out.write(EventStream.event("served", n.toString()));
                }
            });
            served.clear();
        }

        private void expire() {
            if (!faults.hang) {
                model.due(now()).forEach(this::end);
            }
        }

        private void beat() {
            if (!faults.mute && !faults.hang) {
                new ArrayList<>(streams.values()).forEach(out -> out.write(EventStream.keepAliveComment()));
            }
        }

        private void tell() {
            note("link", model.use());
            if (settings.uplinkNotes()) {
                note("uplink", model.uplinkUse());
            }
        }

        private void tellShare() {
            double share = model.share();
            if (share < 0.98) {
                note("share", share);
            }
        }

        /** Tells each manager with sessions here, late, by way of its oldest session. */
        private void note(String kind, double value) {
            Map<String, String> oldest = new LinkedHashMap<>();
            for (Held held : model.all()) {
                if (held.confirmed) {
                    oldest.putIfAbsent(held.manager, held.key.substring(0, held.key.lastIndexOf('.')));
                }
            }
            loop.schedule(
                    settings.noteDelayMs() + faults.reportLateMs,
                    () -> oldest.forEach((manager, session) -> {
                        BodyStream out = streams.get(manager);
                        if (!gone() && out != null && !faults.mute && !faults.hang) {
                            ObjectNode n = Documents.MAPPER
                                    .createObjectNode()
                                    .put("session", session)
                                    .put("kind", kind)
                                    .put("value", value);
                            out.write(EventStream.event("note", n.toString()));
                        }
                    }));
        }
    }

    /** Starts it or says why not, for owners that can't go on without it. */
    public InetSocketAddress startOrThrow(boolean cold) {
        try {
            return start(cold);
        } catch (IOException e) {
            throw new UncheckedIOException("box " + settings.id(), e);
        }
    }
}
