package calicovale.front.player;

import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Departed;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.Started;
import calicovale.front.box.BoxClient;
import calicovale.front.settings.FrontSettings;
import calicovale.front.settings.FrontSettings.Holders;
import calicovale.host.ControllerHost;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places sessions: raises requests to the controller, executes the controller's actions (set-up attempts,
 * cancellations, rung changes, moves, refusals) and follows each session until it leaves its box. Each waiting exchange
 * gets exactly one response: the outcome of the placement, or 504 at the deadline.
 */
final class SessionPlacer implements ControllerHost.ActionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SessionPlacer.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final Counters counters;
    private final SessionRegistry registry;
    private final PlayerResponses responses;
    private final LongFunction<BoxClient> boxClients;
    private final String incarnation;
    private ControllerHost host;
    private ProgrammeChanges programmeChanges;
    private PlaylistRequests playlistRequests;
    private long lastRequestNumber;

    /**
     * Creates the placer; {@link #setCollaborators} must be called before it is used.
     *
     * @param boxClients returns the client of a box by its number, or null if no list has contained the box
     * @param incarnation distinguishes this process from earlier ones of the same manager number;
     *     part of every request id
     */
    SessionPlacer(
            EventLoop loop,
            FrontSettings settings,
            Counters counters,
            SessionRegistry registry,
            PlayerResponses responses,
            LongFunction<BoxClient> boxClients,
            String incarnation) {
        this.loop = loop;
        this.settings = settings;
        this.counters = counters;
        this.registry = registry;
        this.responses = responses;
        this.boxClients = boxClients;
        this.incarnation = incarnation;
    }

    /** Sets the objects that are constructed after this one because they refer to it. */
    void setCollaborators(ControllerHost controllerHost, ProgrammeChanges changes, PlaylistRequests requests) {
        host = controllerHost;
        programmeChanges = changes;
        playlistRequests = requests;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /**
     * Raises a placement request for a session to the controller, under a new request id.
     *
     * @param exchange answered with the outcome; null if no player waits
     * @param retry whether the viewer was refused before
     * @param moved whether the controller moves the session away from its box
     * @param returning whether the viewer continues a lecture
     */
    void place(Session session, Exchange exchange, boolean retry, boolean moved, boolean returning) {
        session.state = Session.State.PLACING;
        session.requestId = "m" + settings.controller().self() + "-" + incarnation + "-" + ++lastRequestNumber;
        session.attempt = -1;
        // the controller sets a rung only if it differs from the class's lowest rung
        session.rung = settings.controller().classes().get(session.sessionClass).lowestRung();
        session.departed = false;
        session.lastAttemptTimedOut = false;
        session.placementStartedAtMs = nowMs();
        registry.byRequestId.put(session.requestId, session);
        registry.pendingRequests++;
        if (exchange != null) {
            addWaitingExchange(session, exchange);
        }
        double remainingMs = session.waitMs - settings.times().answerMarginMs();
        String requestId = session.requestId;
        session.deadlineTimer = loop.schedule(remainingMs, () -> onDeadline(session, requestId));
        Holders holders = session.holders != null
                ? session.holders
                : settings.titles().getOrDefault(session.title, new Holders(0, Integer.MAX_VALUE));
        host.raise(new Request(
                session.requestId,
                session.sessionClass,
                session.tenant,
                session.viewer,
                session.title,
                host.nowMs() + remainingMs,
                0,
                holders.homeCell(),
                holders.span(),
                session.topRung,
                retry,
                moved,
                returning));
    }

    /** Adds an exchange to be answered with the outcome of the current placement. */
    void addWaitingExchange(Session session, Exchange exchange) {
        session.waitingExchanges.add(exchange);
        exchange.onClientClosed(() -> {
            if (session.state == Session.State.PLACING
                    && session.waitingExchanges.stream().allMatch(Exchange::clientClosed)) {
                depart(session);
            }
        });
    }

    /** Reports to the controller, once, that nobody waits for the current placement any more. */
    void depart(Session session) {
        if (session.departed) {
            return;
        }
        session.departed = true;
        counters.increment("departed");
        LOG.atInfo().addKeyValue("session", session.requestId).log("nobody waits for the request any more");
        // while an attempt is outstanding the request stays registered, until the controller cancels the attempt or it
        // ends by itself
        host.raise(new Departed(session.requestId));
        if (session.setUpCall == null) {
            registry.changeState(session, Session.State.LOST);
        }
    }

    private void onDeadline(Session session, String requestId) {
        if (session.state != Session.State.PLACING || !session.requestId.equals(requestId) || session.departed) {
            return;
        }
        counters.increment("overdue");
        session.departed = true;
        respondToAll(
                session,
                exchange -> exchange.problem(
                        504,
                        PlayerResponses.sessionHeaders(requestId),
                        "Gateway Timeout",
                        "no box answered in time",
                        ""));
        host.raise(new Departed(session.requestId));
        if (session.setUpCall == null) {
            registry.changeState(session, Session.State.LOST);
        }
    }

    /** Writes the response to one exchange. */
    private interface ResponseWriter {
        /** Returns whether the response could be written. */
        boolean write(Exchange exchange);
    }

    /** Answers all waiting exchanges that are still connected; returns whether at least one response was written. */
    private boolean respondToAll(Session session, ResponseWriter writer) {
        boolean answered = false;
        List<Exchange> exchanges = new ArrayList<>(session.waitingExchanges);
        session.waitingExchanges.clear();
        for (Exchange exchange : exchanges) {
            if (!exchange.clientClosed()) {
                answered |= writer.write(exchange);
            }
        }
        return answered;
    }

    @Override
    public void attempt(String requestId, long boxNumber, double timeoutMs) {
        Session session = registry.byRequestId.get(requestId);
        BoxClient box = boxClients.apply(boxNumber);
        session.attempt++;
        session.box = box;
        session.attemptStartedAtMs = nowMs();
        counters.increment("attempts");
        int attempt = session.attempt;
        if (box == null) {
            loop.schedule(
                    0, () -> onAttemptEnded(session, requestId, attempt, boxNumber, Outcome.CONNECT_FAILED, Map.of()));
            return;
        }
        double scale = settings.controller().classes().get(session.sessionClass).scale();
        ObjectNode body = Documents.MAPPER
                .createObjectNode()
                .put("session", requestId)
                .put("attempt", attempt)
                .put("class", settings.classNames().get(session.sessionClass))
                .put("title", session.title)
                .put("rung", session.rung);
        ArrayNode ladderKb = body.putArray("ladderKb");
        settings.controller().media().rungKb().forEach(kb -> ladderKb.add(kb * scale));
        LOG.atInfo()
                .addKeyValue("session", requestId)
                .log("set-up attempt {} at box {}, rung {}", attempt, boxNumber, session.rung);
        session.setUpCall = box.setUp(session.attemptKey(), body, timeoutMs, new BoxClient.SetUpListener() {
            @Override
            public void started(String base, HttpHead head) {
                onStarted(session, requestId, attempt, box, base);
            }

            @Override
            public void answered(int status, Map<String, Double> load) {
                onAttemptEnded(
                        session, requestId, attempt, boxNumber, status == 429 ? Outcome.FULL : Outcome.ERROR, load);
            }

            @Override
            public void failed(Failure failure) {
                Outcome outcome =
                        switch (failure) {
                            case CONNECT_REFUSED, CONNECT_TIMEOUT -> Outcome.CONNECT_FAILED;
                            case POOL_FULL -> Outcome.MOOT;
                            case RESET -> Outcome.RESET;
                            case TIMEOUT -> Outcome.TIMEOUT;
                            case MALFORMED -> Outcome.ERROR;
                            case CANCELLED -> Outcome.CANCELLED;
                        };
                if (!outcome.provesNeverRan()) {
                    // the box may have started the session: release it now, otherwise it ends with its lease
                    box.release(requestId + "." + attempt);
                }
                onAttemptEnded(session, requestId, attempt, boxNumber, outcome, Map.of());
            }
        });
    }

    private void onStarted(Session session, String requestId, int attempt, BoxClient box, String baseUri) {
        double elapsedMs = nowMs() - session.attemptStartedAtMs;
        boolean wanted =
                !session.departed && session.state == Session.State.PLACING && session.requestId.equals(requestId);
        boolean background = wanted && session.waitingExchanges.isEmpty() && session.playlistDelivered;
        if (!wanted || !background && session.waitingExchanges.stream().allMatch(Exchange::clientClosed)) {
            releaseUnwanted(session, requestId, attempt, box, elapsedMs);
            return;
        }
        session.baseUri = baseUri;
        session.startedAtMs = nowMs();
        programmeChanges.resetReportedRung(session);
        host.raise(new Started(requestId, attempt, box.id(), elapsedMs));
        registry.changeState(session, Session.State.PLAYING);
        registry.playingByBox.computeIfAbsent(box, b -> new LinkedHashSet<>()).add(session);
        box.openEventStream();
        String key = session.attemptKey();
        box.confirm(key, () -> {
            if (session.state == Session.State.PLAYING && session.attemptKey().equals(key)) {
                loseSession(session, "the box released the session before it was confirmed");
            }
        });
        if (session.playlistDelivered && session.lecture != null) {
            session.playlist.resume(session.lecture, session.lostAtMs, nowMs());
        }
        boolean firstAnswer = !session.playlistDelivered;
        boolean answered = background
                | respondToAll(session, exchange -> {
                    if (firstAnswer) {
                        return responses.sendMultivariantPlaylist(session, exchange);
                    }
                    playlistRequests.sendPlaylist(session, exchange, true);
                    return true;
                });
        if (!answered) {
            // no response could be written, so no player has the playlist's URL
            leaveBox(session, Outcome.OK, Map.of());
            box.release(key);
            registry.remove(session);
            return;
        }
        session.playlistDelivered = true;
        counters.increment("played");
        LOG.atInfo()
                .addKeyValue("session", requestId)
                .log("playing at box {}, rung {}, set-up took {} ms", box.id(), session.rung, Math.round(elapsedMs));
    }

    /** Releases a set-up that succeeded after its request had ended or all waiting players had disconnected. */
    private void releaseUnwanted(Session session, String requestId, int attempt, BoxClient box, double elapsedMs) {
        counters.increment("let-go");
        box.release(requestId + "." + attempt);
        host.raise(new AttemptEnded(requestId, attempt, box.id(), Outcome.OK, elapsedMs, true, Map.of()));
        if (session.state == Session.State.PLACING && session.requestId.equals(requestId)) {
            registry.changeState(session, Session.State.LOST);
        }
    }

    /** Reports an attempt that ended without starting the session to the controller. */
    private void onAttemptEnded(
            Session session, String requestId, int attempt, long boxNumber, Outcome outcome, Map<String, Double> load) {
        boolean current = session.state == Session.State.PLACING && session.requestId.equals(requestId);
        if (current) {
            session.setUpCall = null;
            session.lastAttemptTimedOut = outcome == Outcome.TIMEOUT;
        }
        counters.increment(
                "attempts-" + outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        LOG.atInfo()
                .addKeyValue("session", requestId)
                .log("set-up attempt {} at box {} ended: {}", attempt, boxNumber, outcome);
        boolean requestClosed = session.departed || !current;
        host.raise(new AttemptEnded(
                requestId, attempt, boxNumber, outcome, nowMs() - session.attemptStartedAtMs, requestClosed, load));
        if (current && session.departed && session.state == Session.State.PLACING) {
            registry.changeState(session, Session.State.LOST);
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Session session = registry.byRequestId.get(requestId);
        if (session != null && session.setUpCall != null && session.attempt == attempt) {
            session.setUpCall.cancel();
        }
    }

    @Override
    public void rung(String requestId, int rung) {
        Session session = registry.byRequestId.get(requestId);
        if (session == null) {
            return;
        }
        session.rung = rung;
        if (session.state == Session.State.PLAYING) {
            programmeChanges.resetReportedRung(session);
            counters.increment("rung-changes");
            session.box.sendRung(session.attemptKey(), rung, ++session.rungChangeNumber);
            LOG.atInfo().addKeyValue("session", requestId).log("changed to rung {}", rung);
        }
    }

    @Override
    public void move(String requestId) {
        Session session = registry.byRequestId.get(requestId);
        if (session == null || session.state != Session.State.PLAYING) {
            return;
        }
        counters.increment("moves");
        session.box.release(session.attemptKey());
        boolean forPiece = session.forPiece;
        leaveBox(session, Outcome.OK, Map.of());
        if (!forPiece) {
            place(session, null, false, true, false);
        }
    }

    @Override
    public void refuse(String requestId, double retryAfterMs) {
        Session session = registry.byRequestId.get(requestId);
        if (session == null) {
            return;
        }
        LOG.atInfo().addKeyValue("session", requestId).log("request refused by the controller");
        respondToAll(session, exchange -> responses.refuse(exchange, requestId, retryAfterMs));
        registry.changeState(session, Session.State.LOST);
    }

    @Override
    public void fail(String requestId) {
        Session session = registry.byRequestId.get(requestId);
        if (session == null) {
            return;
        }
        counters.increment("failed");
        LOG.atInfo().addKeyValue("session", requestId).log("set-up failed, no further attempt");
        int status = session.lastAttemptTimedOut ? 504 : 502;
        respondToAll(
                session,
                exchange -> exchange.problem(
                        status,
                        PlayerResponses.sessionHeaders(requestId),
                        status == 504 ? "Gateway Timeout" : "Bad Gateway",
                        "the set-up failed",
                        ""));
        registry.changeState(session, Session.State.LOST);
    }

    @Override
    public void log(String text) {
        LOG.info("controller: {}", text);
    }

    /** Ends a playing session's stay at its box and reports the outcome to the controller. */
    void leaveBox(Session session, Outcome outcome, Map<String, Double> load) {
        BoxClient box = session.box;
        Set<Session> playing = registry.playingByBox.get(box);
        if (playing != null && playing.remove(session) && playing.isEmpty()) {
            registry.playingByBox.remove(box);
            box.closeEventStream();
        }
        session.lostAtMs = nowMs();
        session.rungChangeNumber = 0;
        registry.changeState(session, Session.State.LOST);
        host.raise(new AttemptEnded(
                session.requestId, session.attempt, box.id(), outcome, nowMs() - session.startedAtMs, true, load));
    }

    /** Handles the loss of a session's box or of the session at the box; the player's next reload is a new request. */
    void loseSession(Session session, String reason) {
        counters.increment("sessions-lost");
        LOG.atInfo()
                .addKeyValue("session", session.requestId)
                .log("session lost at box {}: {}", session.box.id(), reason);
        leaveBox(session, Outcome.RESET, Map.of());
    }
}
