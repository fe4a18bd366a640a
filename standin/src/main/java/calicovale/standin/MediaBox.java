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
import calicovale.standin.BoxModel.BoxSession;
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
 * A stand-in media box on an event loop, with set-ups, segments paced by its link, event streams, and faults that can
 * be injected. Each start looks to clients like a new process, because the sessions, tokens and streams of the previous
 * one are gone. All methods must be called on the loop.
 */
public final class MediaBox {
    private static final Logger LOG = LoggerFactory.getLogger(MediaBox.class);
    /** Interval at which transfers are given their share of the link, in ms. */
    private static final double PACING_INTERVAL_MS = 40;
    /** Interval between events that report the last segments delivered completely, in ms. */
    private static final double SERVED_EVENT_INTERVAL_MS = 250;
    /** Interval between checks for sessions that end, in ms. */
    private static final double EXPIRY_CHECK_INTERVAL_MS = 200;
    /** Interval between checks whether a note of the delivered share is due, in ms. */
    private static final double SHARE_NOTE_INTERVAL_MS = 1000;
    /** Maximum number of load reports kept for delayed reporting. */
    private static final int MAX_LOAD_REPORTS = 100;
    /** Maximum multiple of its own rate that a transfer gets while the link has spare capacity. */
    private static final double MAX_RATE_FACTOR = 3;

    /** Maximum bytes of a transfer that wait to be written to its connection. */
    private static final int MAX_PENDING_BYTES = 1 << 18;

    /** Faults injected into a box. Each lasts until it is reset. */
    public static final class Faults {
        /**
         * The box accepts connections and reads requests but does not answer until the fault ends; deferred requests
         * are handled then.
         */
        public boolean hang;
        /** A hanging box does not notice that clients have closed their connections, and handles their requests too. */
        public boolean ignorePeerClosed;
        /** Factor by which set-ups take longer. */
        public double setUpTimeFactor = 1;
        /** Fraction of set-ups that are answered with an error at once. */
        public double setUpErrorShare;
        /** Fraction of set-ups whose response is cut off by a connection reset. */
        public double setUpResetShare;
        /** Additional delay of load reports, in ms. */
        public double reportDelayMs;
        /** Event streams are neither written to nor closed, as on a half-open connection. */
        public boolean silentEventStreams;
    }

    private final EventLoop loop;
    private final BoxSettings settings;
    private final Rack rack;
    private final RandomGenerator random;
    private final BoxContent boxContent;
    private final Faults faults = new Faults();
    private InetSocketAddress address;
    private BoxProcess process;
    private boolean crashedByOverload;
    private int startCount;

    /** Creates a box that is down until {@link #start}. */
    public MediaBox(EventLoop loop, BoxSettings settings, Rack rack, RandomGenerator random) {
        this.loop = loop;
        this.settings = settings;
        this.rack = rack;
        this.random = random;
        this.boxContent = new BoxContent(settings);
        this.address = settings.listen();
    }

    /** Returns the settings that the box was created with. */
    public BoxSettings settings() {
        return settings;
    }

    /** Returns the injected faults, which the caller may change. */
    public Faults faults() {
        return faults;
    }

    /** Returns whether set-ups overloaded the box while it was cold. It then stays down. */
    public boolean crashedByOverload() {
        return crashedByOverload;
    }

    /** Returns the address that the box listens on, or listened on last. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns whether the process is running. */
    public boolean isRunning() {
        return process != null;
    }

    /** Returns the number of sessions and set-ups. */
    public int sessionCount() {
        return process == null ? 0 : process.model.sessions().size();
    }

    /** Injects a fault that divides the link's capacity; a divisor of 1 ends the fault. Ends with the process. */
    public void setLinkDivisor(double divisor) {
        if (process != null) {
            process.model.setLinkDivisor(divisor);
        }
    }

    /**
     * Starts the process, on the same port as before after a crash. Does nothing if it is running or crashed by
     * overload.
     *
     * @param cold whether the box has to warm up
     * @return the address that the box listens on
     */
    public InetSocketAddress start(boolean cold) throws IOException {
        if (process != null || crashedByOverload) {
            return address;
        }
        process = new BoxProcess(cold ? loop.clock().millis() : 0);
        try {
            address = process.server.listen(address);
        } catch (IOException e) {
            process = null;
            throw e;
        }
        process.startTimers();
        return address;
    }

    /** Ends the process at once and resets all connections. */
    public void crash() {
        if (process != null) {
            BoxProcess crashed = process;
            process = null;
            crashed.server.stopListening();
            loop.resetAll(crashed.name);
            rack.setDemand(settings.id(), 0);
        }
    }

    /** Resets all connections but keeps the process running. */
    public void resetConnections() {
        if (process != null) {
            loop.resetAll(process.name);
        }
    }

    /** Ends a hang and handles the requests deferred by it. */
    public void endHang() {
        faults.hang = false;
        faults.ignorePeerClosed = false;
        if (process != null) {
            List<Runnable> deferred = new ArrayList<>(process.deferredTasks);
            process.deferredTasks.clear();
            deferred.forEach(Runnable::run);
        }
    }

    /** Ratios of demand to capacity of the link and of the rack's uplink at a time. */
    private record LoadReport(double atMs, double linkDemandRatio, double uplinkDemandRatio) {}

    /** One response body that is paced by the link. */
    private static final class Transfer {
        final BoxSession session;
        /** Path of the segment to report when it is delivered; null for a range. */
        final String servedPath;

        final BodyStream stream;
        final byte[] content;
        final boolean lastSegment;
        final double rateKb;
        int sentBytes;
        double creditBytes;

        Transfer(
                BoxSession session,
                String servedPath,
                BodyStream stream,
                byte[] content,
                boolean lastSegment,
                double rateKb) {
            this.session = session;
            this.servedPath = servedPath;
            this.stream = stream;
            this.content = content;
            this.lastSegment = lastSegment;
            this.rateKb = rateKb;
        }
    }

    /** One process of the box, from a start to a crash. */
    private final class BoxProcess {
        private final String name;
        private final String incarnation;
        private final BoxModel model;
        private final HttpServer server;
        private final Map<String, BodyStream> streams = new LinkedHashMap<>();
        private final Set<Transfer> transfers = new LinkedHashSet<>();
        private final ArrayDeque<LoadReport> reports = new ArrayDeque<>();
        private final List<Runnable> deferredTasks = new ArrayList<>();
        /** Path of the last segment delivered completely but not reported yet, by manager and session key. */
        private final Map<String, Map<String, String>> servedPaths = new LinkedHashMap<>();

        BoxProcess(double startedMs) {
            name = "box:" + settings.id();
            incarnation = settings.id() + "-" + ++startCount + "-" + Long.toString(random.nextLong() >>> 24, 36);
            model = new BoxModel(settings, rack, startedMs);
            HttpLimits limits = HttpLimits.DEFAULT;
            server = new HttpServer(loop, name, limits, this::handle).crossOrigin(settings.crossOrigin());
        }

        private boolean isStopped() {
            return process != this;
        }

        private double nowMs() {
            return loop.clock().millis();
        }

        void startTimers() {
            repeatEvery(PACING_INTERVAL_MS, this::paceTransfers);
            repeatEvery(settings.beatMs(), this::sendKeepAlives);
            repeatEvery(SERVED_EVENT_INTERVAL_MS, this::sendServedEvents);
            repeatEvery(EXPIRY_CHECK_INTERVAL_MS, this::endExpiredSessions);
            repeatEvery(settings.reportEveryMs(), this::recordLoad);
            repeatEvery(settings.noteEveryMs(), this::sendDemandRatioNotes);
            repeatEvery(SHARE_NOTE_INTERVAL_MS, this::sendShareNote);
            recordLoad();
        }

        private void repeatEvery(double intervalMs, Runnable task) {
            loop.schedule(intervalMs, () -> {
                if (!isStopped()) {
                    task.run();
                    repeatEvery(intervalMs, task);
                }
            });
        }

        private void handle(Exchange exchange) {
            if (isStopped()) {
                return;
            }
            if (faults.hang) {
                // a box that does not notice closed connections still handles their requests, late
                boolean ignorePeerClosed = faults.ignorePeerClosed;
                deferredTasks.add(() -> {
                    if (ignorePeerClosed || !exchange.clientClosed()) {
                        route(exchange, ignorePeerClosed);
                    }
                });
                return;
            }
            route(exchange, false);
        }

        private void route(Exchange exchange, boolean ignorePeerClosed) {
            String path = exchange.head().path();
            String method = exchange.head().method();
            if (path.equals("/v1/sessions") && method.equals("POST")) {
                setUp(exchange, ignorePeerClosed);
            } else if (path.startsWith("/v1/sessions/") && method.equals("PUT")) {
                updateSession(exchange, path.substring(13));
            } else if (path.startsWith("/v1/sessions/") && method.equals("DELETE")) {
                releaseSession(exchange, path.substring(13));
            } else if (path.equals("/v1/events") && method.equals("GET")) {
                openEventStream(exchange);
            } else if (path.startsWith("/v1/titles/") && method.equals("GET")) {
                servePlaylist(exchange, path.substring(11).split("/"));
            } else if (path.startsWith("/s/") && method.equals("GET")) {
                serveSegment(exchange, path.substring(3).split("/"));
            } else {
                exchange.problem(404, "Not Found", "no such resource");
            }
        }

        private Headers loadHeaders() {
            double untilMs = nowMs() - faults.reportDelayMs;
            LoadReport report = reports.peekFirst();
            for (LoadReport candidate : reports) {
                report = candidate.atMs() <= untilMs ? candidate : report;
            }
            return new Headers()
                    .add(
                            "endpoint-load-metrics",
                            "TEXT named_metrics.util=" + formatMetric(Math.min(1, report.linkDemandRatio()))
                                    + ",named_metrics.x1=" + formatMetric(report.uplinkDemandRatio()));
        }

        private String formatMetric(double value) {
            return String.format(Locale.ROOT, "%.4f", value);
        }

        private void recordLoad() {
            reports.addLast(new LoadReport(nowMs(), model.linkDemandRatio(), model.uplinkDemandRatio()));
            while (reports.size() > MAX_LOAD_REPORTS) {
                reports.removeFirst();
            }
        }

        private void setUp(Exchange exchange, boolean ignorePeerClosed) {
            if (!model.recordSetUp(nowMs())) {
                crashedByOverload = true;
                LOG.warn("box {} crashed because too many set-ups arrived while it was cold", settings.id());
                crash();
                return;
            }
            if (random.nextDouble() < faults.setUpErrorShare) {
                exchange.problem(500, loadHeaders(), "Internal Server Error", "a fault", "");
                return;
            }
            JsonNode request;
            double[] ladderKb;
            try {
                request = Documents.MAPPER.readTree(exchange.body());
                List<Double> rates = new ArrayList<>();
                request.path("ladderKb").forEach(kb -> rates.add(kb.asDouble()));
                ladderKb = rates.stream().mapToDouble(kb -> kb).toArray();
                int rung = request.path("rung").asInt(-1);
                if (rung < 0
                        || rung >= ladderKb.length
                        || !request.path("key").asText().matches("[A-Za-z0-9.~_-]{1,100}")) {
                    throw new IllegalArgumentException("rung, ladderKb and key are expected");
                }
            } catch (IOException | IllegalArgumentException e) {
                exchange.problem(400, "Bad Request", e.getMessage());
                return;
            }
            String key = request.path("key").asText();
            if (model.get(key) != null) {
                exchange.problem(409, loadHeaders(), "Conflict", "this attempt is known", "");
                return;
            }
            if (!boxContent.holds(request.path("title").asText())) {
                exchange.problem(404, loadHeaders(), "Not Found", "no such title here", "");
                return;
            }
            if (model.isFull()) {
                exchange.problem(429, loadHeaders(), "Too Many Requests", "full", "");
                return;
            }
            byte[] secret = new byte[12];
            random.nextBytes(secret);
            String token = incarnation + "." + HexFormat.of().formatHex(secret);
            BoxSession session = new BoxSession(
                    key,
                    request.path("manager").asText(),
                    token,
                    request.path("title").asText(),
                    ladderKb,
                    request.path("rung").asInt());
            session.leaseUntilMs = nowMs()
                    + settings.setUpMs() * faults.setUpTimeFactor
                    + request.path("leaseMs").asDouble(1000);
            session.lastActivityMs = nowMs();
            model.add(session);
            exchange.onClientClosed(() -> {
                if (!ignorePeerClosed && !faults.ignorePeerClosed && !isStopped()) {
                    model.remove(session);
                }
            });
            // varies by up to 30 % around the mean
            double durationMs = settings.setUpMs() * faults.setUpTimeFactor * (0.7 + 0.6 * random.nextDouble());
            loop.schedule(durationMs, () -> finishSetUp(exchange, session));
        }

        private void finishSetUp(Exchange exchange, BoxSession session) {
            if (isStopped() || model.get(session.key) != session) {
                return;
            }
            if (exchange.clientClosed()) {
                // no client learns that the session plays, so it ends when its lease expires
                LOG.info(
                        "box {}: the client of set-up {} disconnected before the response; its lease will end it",
                        settings.id(),
                        session.key);
                return;
            }
            if (faults.hang) {
                deferredTasks.add(() -> finishSetUp(exchange, session));
                return;
            }
            if (random.nextDouble() < faults.setUpResetShare) {
                model.remove(session);
                exchange.connection().write(ByteBuffer.wrap("HTTP/1.1 201 Crea".getBytes(StandardCharsets.ISO_8859_1)));
                exchange.connection().reset(new IOException("injected fault"));
                return;
            }
            ObjectNode response = Documents.MAPPER.createObjectNode().put("base", "/s/" + session.token + "/");
            exchange.respond(
                    201,
                    loadHeaders().add("Content-Type", "application/json"),
                    response.toString().getBytes(StandardCharsets.UTF_8));
        }

        private void updateSession(Exchange exchange, String key) {
            BoxSession session = model.get(key);
            if (session == null) {
                exchange.problem(404, "Not Found", "no such session");
                return;
            }
            try {
                JsonNode request = Documents.MAPPER.readTree(exchange.body());
                if (request.path("confirmed").asBoolean()) {
                    session.confirmed = true;
                    session.lastActivityMs = nowMs();
                    if (!streams.containsKey(session.manager)) {
                        session.managerLostMs = nowMs();
                    }
                }
                if (request.has("rung")) {
                    model.setRung(
                            session,
                            request.path("rung").asInt(),
                            request.path("change").asInt());
                }
                exchange.respond(204);
            } catch (IOException e) {
                exchange.problem(400, "Bad Request", "JSON is expected");
            }
        }

        private void releaseSession(Exchange exchange, String key) {
            BoxSession session = model.get(key);
            if (session != null) {
                model.remove(session);
            }
            exchange.respond(204);
        }

        private void openEventStream(Exchange exchange) {
            String manager = exchange.head().queryParameter("manager");
            if (manager == null) {
                exchange.problem(400, "Bad Request", "manager is expected");
                return;
            }
            BodyStream stream = exchange.stream(200, new Headers().add("Content-Type", "text/event-stream"));
            ObjectNode hello = Documents.MAPPER.createObjectNode().put("incarnation", incarnation);
            ArrayNode keys = hello.putArray("held");
            for (BoxSession session : model.sessions()) {
                if (session.manager.equals(manager)) {
                    keys.add(session.key);
                    session.managerLostMs = -1;
                }
            }
            BodyStream previousStream = streams.put(manager, stream);
            if (previousStream != null) {
                previousStream.end();
            }
            stream.write(EventStream.event("hello", hello.toString()));
            exchange.onClientClosed(() -> {
                if (streams.remove(manager, stream)) {
                    markManagerLost(manager);
                }
            });
        }

        private void markManagerLost(String manager) {
            for (BoxSession session : model.sessions()) {
                if (session.manager.equals(manager) && session.managerLostMs < 0) {
                    session.managerLostMs = nowMs();
                }
            }
        }

        private void servePlaylist(Exchange exchange, String[] parts) {
            try {
                boolean wellFormed = parts.length == 2 && parts[1].matches("\\d{1,2}\\.m3u8");
                String text = !wellFormed
                        ? null
                        : boxContent.playlist(parts[0], Integer.parseInt(parts[1].substring(0, parts[1].length() - 5)));
                if (text == null) {
                    exchange.problem(404, "Not Found", "no such lecture here");
                } else {
                    exchange.respond(
                            200,
                            loadHeaders().add("Content-Type", "application/vnd.apple.mpegurl"),
                            text.getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                exchange.problem(500, "Internal Server Error", "unreadable");
            }
        }

        private void serveSegment(Exchange exchange, String[] parts) {
            // TOKEN/RUNG/FILE of the lecture, or TOKEN/p/PIECE/RUNG/FILE
            boolean ofPiece = parts.length == 5 && parts[1].equals("p");
            BoxSession session = parts.length == 3 || ofPiece ? model.byToken(parts[0]) : null;
            if (session == null || !session.confirmed) {
                // the token belongs to an earlier process, or its session is not confirmed or has ended
                exchange.problem(410, "Gone", "no such session here");
                return;
            }
            try {
                String rungText = parts[parts.length - 2];
                String file = parts[parts.length - 1];
                String title = ofPiece ? parts[2] : session.title;
                int rung = rungText.matches("\\d{1,2}") ? Integer.parseInt(rungText) : -1;
                byte[] content = rung < 0 || rung >= session.ladderKb.length
                        ? null
                        : boxContent.bytes(title, rung, file, session.ladderKb[rung]);
                if (content == null) {
                    exchange.problem(404, "Not Found", "no such segment");
                    return;
                }
                ByteRange range = ByteRange.of(exchange.head().headers().get("Range"), content.length);
                Headers headers = loadHeaders().add("Accept-Ranges", "bytes");
                if (!range.whole()) {
                    headers.add("Content-Range", range.contentRange(content.length));
                }
                if (range.length() == 0) {
                    exchange.problem(
                            416,
                            headers,
                            "Range Not Satisfiable",
                            "a range within " + content.length + " bytes is expected",
                            "");
                    return;
                }
                byte[] body = range.whole()
                        ? content
                        : Arrays.copyOfRange(content, (int) range.first(), (int) (range.first() + range.length()));
                session.lastActivityMs = nowMs();
                session.activeTransfers++;
                BodyStream stream = exchange.stream(
                        range.whole() ? 200 : 206, headers.add("Content-Type", "video/mp4"), body.length);
                // a range is not reported, because it does not mean that the whole segment was delivered
                String servedPath =
                        range.whole() ? String.join("/", Arrays.asList(parts).subList(1, parts.length)) : null;
                boolean lastSegment = range.whole() && !ofPiece && boxContent.isLastSegment(title, file);
                Transfer transfer =
                        new Transfer(session, servedPath, stream, body, lastSegment, session.ladderKb[rung]);
                transfers.add(transfer);
                exchange.onClientClosed(() -> {
                    if (transfers.remove(transfer)) {
                        session.activeTransfers--;
                        session.lastActivityMs = nowMs();
                    }
                });
            } catch (IOException e) {
                exchange.problem(500, "Internal Server Error", "unreadable");
            }
        }

        /** Writes the next bytes of all transfers. Each gets the same fraction or multiple of its rate. */
        private void paceTransfers() {
            if (transfers.isEmpty() || faults.hang) {
                return;
            }
            double demandKb = 0;
            for (Transfer transfer : transfers) {
                demandKb += transfer.rateKb;
            }
            double uplinkDemandRatio = model.uplinkDemandRatio();
            double rateFactor = Math.min(MAX_RATE_FACTOR, model.linkKb() / Math.max(1, demandKb));
            if (uplinkDemandRatio > 1) {
                rateFactor = Math.min(rateFactor, 1 / uplinkDemandRatio);
            }
            if (model.linkDemandRatio() > 1) {
                rateFactor = Math.min(rateFactor, 1 / model.linkDemandRatio());
            }
            for (Transfer transfer : new ArrayList<>(transfers)) {
                transfer.creditBytes += transfer.rateKb * rateFactor * PACING_INTERVAL_MS;
                int freeBytes = MAX_PENDING_BYTES - transfer.stream.pendingBytes();
                int byteCount = (int) Math.min(
                        Math.min(transfer.creditBytes, transfer.content.length - transfer.sentBytes),
                        Math.max(0, freeBytes));
                if (byteCount > 0) {
                    transfer.creditBytes -= byteCount;
                    transfer.stream.write(
                            Arrays.copyOfRange(transfer.content, transfer.sentBytes, transfer.sentBytes + byteCount));
                    transfer.sentBytes += byteCount;
                }
                transfer.creditBytes = Math.min(transfer.creditBytes, MAX_PENDING_BYTES);
                if (transfer.sentBytes == transfer.content.length && transfers.remove(transfer)) {
                    transfer.session.activeTransfers--;
                    transfer.session.lastActivityMs = nowMs();
                    transfer.stream.end();
                    if (transfer.servedPath != null) {
                        servedPaths
                                .computeIfAbsent(transfer.session.manager, m -> new LinkedHashMap<>())
                                .put(transfer.session.key, transfer.servedPath);
                    }
                    if (transfer.lastSegment && model.get(transfer.session.key) == transfer.session) {
                        endSession(transfer.session, "done");
                    }
                }
            }
        }

        private void endSession(BoxSession session, String reason) {
            model.remove(session);
            BodyStream stream = streams.get(session.manager);
            if (stream != null && !faults.silentEventStreams) {
                ObjectNode message = Documents.MAPPER
                        .createObjectNode()
                        .put("key", session.key)
                        .put("reason", reason)
                        .put("load", loadHeaders().get("endpoint-load-metrics"));
                stream.write(EventStream.event("ended", message.toString()));
            }
        }

        private void sendServedEvents() {
            if (faults.silentEventStreams || faults.hang) {
                return;
            }
            servedPaths.forEach((manager, paths) -> {
                BodyStream stream = streams.get(manager);
                if (stream != null) {
                    ObjectNode message = Documents.MAPPER.createObjectNode();
                    ObjectNode pathsBySession = message.putObject("last");
                    paths.forEach(pathsBySession::put);
                    stream.write(EventStream.event("served", message.toString()));
                }
            });
            servedPaths.clear();
        }

        private void endExpiredSessions() {
            if (!faults.hang) {
                model.expiredSessions(nowMs()).forEach(this::endSession);
            }
        }

        private void sendKeepAlives() {
            if (!faults.silentEventStreams && !faults.hang) {
                new ArrayList<>(streams.values()).forEach(out -> out.write(EventStream.keepAliveComment()));
            }
        }

        private void sendDemandRatioNotes() {
            sendNote("link", model.linkDemandRatio());
            if (settings.uplinkNotes()) {
                sendNote("uplink", model.uplinkDemandRatio());
            }
        }

        /** Sends a note of the delivered share if it is noticeably below 1. */
        private void sendShareNote() {
            double share = model.rateShare();
            if (share < 0.98) {
                sendNote("share", share);
            }
        }

        /**
         * Sends a note to each manager with confirmed sessions, after a delay. A note names the manager's oldest
         * session.
         */
        private void sendNote(String kind, double value) {
            Map<String, String> oldestSessions = new LinkedHashMap<>();
            for (BoxSession session : model.sessions()) {
                if (session.confirmed) {
                    oldestSessions.putIfAbsent(session.manager, session.key.substring(0, session.key.lastIndexOf('.')));
                }
            }
            loop.schedule(
                    settings.noteDelayMs() + faults.reportDelayMs,
                    () -> oldestSessions.forEach((manager, session) -> {
                        BodyStream stream = streams.get(manager);
                        if (!isStopped() && stream != null && !faults.silentEventStreams && !faults.hang) {
                            ObjectNode message = Documents.MAPPER
                                    .createObjectNode()
                                    .put("session", session)
                                    .put("kind", kind)
                                    .put("value", value);
                            stream.write(EventStream.event("note", message.toString()));
                        }
                    }));
        }
    }

    /** Starts the box as {@link #start} does, but throws an unchecked exception if it cannot listen. */
    public InetSocketAddress startOrThrow(boolean cold) {
        try {
            return start(cold);
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "box " + settings.id() + " cannot listen on " + address.getHostString() + ":" + address.getPort()
                            + " (/listen of its settings): " + e.getMessage(),
                    e);
        }
    }
}
