package calicovale;

import calicovale.ControllerApi.*;
import java.util.*;

/**
 * Takes all decisions of one session manager: which server plays a session, at which rung, and when a request is
 * refused. The settings, the events it handles and the actions it calls are declared in {@link ControllerApi}.
 *
 * <p>A new session goes to the server with the largest share of normalized service capacity under a weighted cap
 * (the rule of Shikata and Hanayama): normalized capacity times the class's worth, divided by the server's weighted
 * load including the newcomer. In detail:
 *
 * <ul>
 *   <li>each server has a normalized capacity, its link over the mean link;
 *   <li>its weighted load is the sum of the worths of its sessions, including the newcomer, and an estimate of the
 *       load that other session managers (peers) put on it;
 *   <li>servers over the cap, or that the rules exclude, are left out;
 *   <li>a price per kB, from own sessions and estimated room, gives the rung that a session may have;
 *   <li>the newcomer goes to the largest share among servers where its rung fits.
 * </ul>
 *
 * <p>Each method that departs from this rule states when it does so and why. Comments refer to these numbered rules:
 *
 * <ol>
 *   <li>each request gets one answer in time;
 *   <li>no set-up has its effect twice, unless its class permits that;
 *   <li>a draining server gets nothing new;
 *   <li>set-ups at a cold server keep to a limited pace;
 *   <li>no session plays below its class's lowest rung, and no more sessions of a title play than its class has seats;
 *   <li>further attempts for a request keep to a budget.
 * </ol>
 *
 * <p>Load is known from notes, load reports and delivered shares, which are late and noisy. Link and uplink use is
 * therefore estimated, and a reading loses weight with its age. Playing sessions are lowered when a link or an uplink
 * is short, and raised when there has been room for some time.
 *
 * <p>Time comes from events only and the seed feeds the only random source, so equal events give equal actions.
 * The class is not thread-safe. Clock times (names that end in {@code At}, {@code now}) are in ms, rates in kB/s.
 */
public final class SessionController {
    // Ratios, fractions, weights and counts have no unit.

    // Clock time of an event that has not happened; it is before all others.
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    // Shares closer than this fraction count as equal, because the readings behind them are less exact than that.
    private static final double SHARE_TIE_FRACTION = 0.02;

    // Fraction of a link or an uplink that set-ups may fill. The rest is kept free because the rates that sessions
    // really play at vary around those of the ladder.
    private static final double FILL_LIMIT_FRACTION = 0.92;

    // Most by which FILL_LIMIT_FRACTION is lowered at a server without recent readings, because the use of single
    // links spreads about that much around the average.
    private static final double NO_READING_FILL_REDUCTION = 0.3;

    // Fraction of a link or an uplink to which lowering brings it. It is below FILL_LIMIT_FRACTION because newcomers
    // arrive before the next reading and because sessions on their lowest rung cannot be lowered.
    private static final double RELIEF_TARGET_FRACTION = 0.88;

    // Use of a link or an uplink, over its rate, above which playing sessions are lowered. It is above 1 so that only
    // a real shortage lowers them, not a nearly full link.
    private static final double RELIEF_TRIGGER_RATIO = 1.02;

    // Fraction of a link or an uplink up to which playing sessions are raised. It is well below FILL_LIMIT_FRACTION,
    // because the raise would have to be undone otherwise.
    private static final double RAISE_LIMIT_FRACTION = 0.74;

    // Time in ms for which a session must have had room before it is raised: two intervals of notes.
    private static final double RAISE_WAIT_MS = 6000;

    // Raises by one rung that are permitted per session and second. Together with the lowering this keeps changes
    // below 3 steps per session and minute.
    private static final double RAISES_PER_SESSION_SECOND = 0.03;

    // Mean time in ms between two checks of all links; shorter than the delay of a note.
    private static final double TICK_INTERVAL_MS = 250;

    // Weight of a new note in the moving average of a reading; notes carry noise of several per cent.
    private static final double NOTE_SMOOTHING_WEIGHT = 0.7;

    // Weight of an outcome's load report in that average; lower, because reports are later and noisier than notes.
    private static final double REPORT_SMOOTHING_WEIGHT = 0.4;

    // Approximate age in ms of a load report when it arrives; no setting states it.
    private static final double REPORT_AGE_MS = 500;

    // Fraction of a link that is taken as used before there is a reading of any link.
    private static final double PRIOR_USE_FRACTION = 0.6;

    // Weight of that prior, as a number of links of the mean rate; it matters only while there are almost no readings.
    private static final double PRIOR_WEIGHT_LINKS = 1;

    // Weight below which a reading is left out of the average over all links, because it adds next to nothing.
    private static final double MIN_READING_WEIGHT = 0.001;

    // Time constant in ms of the decay of a reading that is older than two intervals of notes: after this time it has
    // lost two thirds of its weight.
    private static final double READING_DECAY_MS = 4000;

    // Highest use of a link, over its rate, that a reading is believed to show; a link above that has no room anyway.
    private static final double MAX_USE_RATIO = 3;

    // Delivered share from which delivery counts as complete; the protocol of the notes uses the same figure.
    private static final double FULL_DELIVERY_FRACTION = 0.98;

    // Time in ms for which a note of short delivery holds; such notes come once a second.
    private static final double SHORT_DELIVERY_VALID_MS = 2200;

    // Fraction by which the correction of a rack's uplink falls per second while no note of short delivery arrives.
    private static final double CORRECTION_DECAY_PER_S = 0.01;

    // Factor on that decay above USUAL_CORRECTION_RATIO, because faults end but differences between uplinks stay.
    private static final double FAST_DECAY_FACTOR = 10;

    // Correction that an uplink may have permanently: the uplinks of racks differ by a third.
    private static final double USUAL_CORRECTION_RATIO = 1.3;

    // Lowest correction of a rack's uplink.
    private static final double MIN_CORRECTION_RATIO = 0.5;

    // Highest correction of a rack's uplink: faults divide the rate of an uplink by up to eight.
    private static final double MAX_CORRECTION_RATIO = 8;

    // Estimated use of an uplink above which complete delivery shows that the use is overestimated.
    private static final double OVERESTIMATED_USE_FRACTION = 0.85;

    // Time in ms, beside the delay of a note, until the lowering by all managers shows in readings.
    private static final double RELIEF_EFFECT_MS = 400;

    // Time in ms for which a lost attempt counts as load, so that a server that hangs does not look empty.
    private static final double LOST_ATTEMPT_LOAD_MS = 8000;

    // Length in ms of the first suspension after a failed set-up; each further failure doubles it.
    private static final double FIRST_SUSPENSION_MS = 2500;

    // Most doublings of that length; no more, because faults last for seconds.
    private static final double MAX_SUSPENSION_DOUBLINGS = 3;

    // Fraction of the servers that must be unhealthy for suspensions to be ignored, because the fault is then
    // elsewhere.
    private static final double FLEET_FAULT_FRACTION = 0.6;

    // Fraction of a cold server's permitted pace of set-ups that all managers together use.
    private static final double COLD_PACE_FRACTION = 0.9;

    // Time in ms after a start without hand-over in which any server may be cold without the controller knowing it.
    private static final double UNKNOWN_COLD_MS = 4000;

    // Longest timeout of an attempt, as a fraction of the class's aim, so that two attempts fit in the aim. It is also
    // the timeout of the first attempts, while no set-up time is known.
    private static final double TIMEOUT_AIM_FRACTION = 0.45;

    // Shortest timeout of an attempt, in ms.
    private static final double MIN_TIMEOUT_MS = 250;

    // Margin of the timeout above the mean set-up time, in mean deviations of the set-up time.
    private static final double TIMEOUT_DEVIATIONS = 8;

    // Time in ms left to the viewer below which no attempt is worth sending.
    private static final double MIN_REMAINING_MS = 100;

    // Shortest retry-after in ms, about the time between two departures at a busy server. Each answer adds a random
    // part of up to the same length.
    private static final double MIN_RETRY_AFTER_MS = 400;

    // Fraction of a rack's servers with own sessions that must have short delivery for its uplink to count as the
    // cause.
    private static final double SHORT_RACK_FRACTION = 0.6;

    // Delivered share below which a server counts as failed, unless the use of its link or uplink explains it.
    private static final double DEAD_DELIVERY_FRACTION = 0.2;

    // Mean length of a session in s that is assumed before any has ended.
    private static final double INITIAL_SESSION_S = 35;

    // Largest factor by which readings correct a server's capacity against its weight; a third is usual.
    private static final double MAX_CAPACITY_CORRECTION_RATIO = 1.5;

    // Difference between the served fraction of all classes and that of one class at which its extra weight is full.
    private static final double FULL_WEIGHT_LAG_FRACTION = 0.1;

    // Time in ms between two trials, by any managers, at a server suspected with strength 1; faults last for seconds.
    private static final double SUSPECTED_TRIAL_INTERVAL_MS = 4000;

    // Time in ms after which a server that is gone is forgotten; no list of servers is late by that much.
    private static final double FORGET_SERVER_MS = 60_000;

    // Shortest time in ms before the list of servers is requested again after a failure. Each wait adds a random part
    // of up to the same length.
    private static final double LIST_RETRY_MS = 1500;

    // Time constant in s of the average of a tenant's request rate.
    private static final double TENANT_RATE_TIME_CONSTANT_S = 5;

    // Lower bound of the use of a link or an uplink when servers are compared, because capacities are divided by it.
    private static final double MIN_COMPARED_USE = 0.05;

    // Estimated use of an uplink above which a reading corrects it, because the correction is a ratio to the estimate.
    private static final double MIN_CORRECTABLE_USE = 0.05;

    // Lower bound of a delivered share when the use is derived from it, because the use is its reciprocal.
    private static final double MIN_DELIVERED_SHARE = 0.05;

    // Value of a load report's util from which it counts as full; util does not go above 1.
    private static final double FULL_UTIL = 0.995;

    // Weight of a new set-up time in the moving averages of set-up time and deviation.
    private static final double SETUP_SMOOTHING_WEIGHT = 0.1;

    // Weight of a new session in the moving average of session lengths.
    private static final double SESSION_SMOOTHING_WEIGHT = 0.05;

    // Time in ms for which changes of own demand are kept, to compare with readings that are late.
    private static final int DEMAND_CHANGES_KEPT_MS = 6000;

    private final Settings config;
    private final Media media;
    private final Actions hostActions;
    private final SplittableRandom random;
    private final TreeMap<Long, Server> servers = new TreeMap<>();
    private final TreeMap<Integer, Rack> racks = new TreeMap<>();
    // Servers whose readings may still have weight in the average over all links.
    private final LinkedHashSet<Server> serversWithReadings = new LinkedHashSet<>();
    private final LinkedHashMap<String, Session> sessions = new LinkedHashMap<>();
    // Sessions per class and title, set-ups included.
    private final Map<String, Integer> seatsTaken = new HashMap<>();
    private final RetryBudget retryBudget;
    // Rate in kB/s, and worth per kB of the step up to a rung; both by class and rung.
    private final double[][] rateKb;
    private final double[][] worthPerKb;
    // Requests per second by tenant, and the clock time of its last update.
    private final double[] tenantRequestRate;
    private final double[] tenantRateAt;
    // By class: the worth of all play so far, the worth of the same play at the highest rungs, and the resulting factor
    // on the class's worth.
    private final double[] earnedWorth;
    private final double[] offeredWorth;
    private final double[] classBoost;
    private final double meanClassWorth;
    // Most weighted load per unit of normalized capacity.
    private final double loadCap;
    private final double startedAt;
    private double now;
    private double averageLinkUse;
    // Least worth per kB for which a step of a session's rung is given.
    private double pricePerKb;
    // Steps by which sessions may be raised now.
    private double raiseTokens;
    private double lastTickAt;
    private double setupDeviationMs;
    // Negative until the first set-up.
    private double meanSetupMs = -1;
    private double meanSessionS = INITIAL_SESSION_S;
    // Fraction of all links' rate that recent readings cover.
    private double coveredLinkFraction;
    private double averagedAt = NEVER;
    private double pricedAt = NEVER;
    private double meanLinkKb = 1;
    private double totalLinkKb;
    // Demand in kB/s of all own sessions, set-ups included.
    private double totalOwnKb;
    private long listVersion = -1;
    // Rises with each change of state, so that cached sums can be checked.
    private long stateVersion;
    // Number of own sessions, set-ups included.
    private long placedSessions;
    // Whether playing sessions were handed over to this controller.
    private boolean handedOver;

    /**
     * Creates a controller and starts its first timer.
     *
     * @param settings what the deployment allows and offers
     * @param seed seed of the controller's only random source
     * @param nowMs clock time in ms
     * @param actions receives the controller's actions, also while this constructor runs
     * @throws IllegalArgumentException when settings or actions are null, there is no class, or the ladder is empty
     *     or lacks a worth for each rung
     */
    public SessionController(Settings settings, long seed, double nowMs, Actions actions) {
        if (settings == null || actions == null)
            throw new IllegalArgumentException("settings and actions must not be null");
        config = settings;
        media = settings.media();
        retryBudget = new RetryBudget(settings.rules());
        hostActions = actions;
        now = nowMs;
        startedAt = lastTickAt = nowMs;
        random = new SplittableRandom(seed);
        int rungs = media.rungKb().size();
        if (rungs == 0 || media.rungWorth().size() != rungs || config.classes().isEmpty())
            throw new IllegalArgumentException(
                    "settings need at least one class, and a ladder with one worth for each rung");
        rateKb = new double[config.classes().size()][rungs];
        worthPerKb = new double[config.classes().size()][rungs];
        for (int classIndex = 0; classIndex < rateKb.length; classIndex++) {
            for (int rung = 0; rung < rungs; rung++)
                rateKb[classIndex][rung] = media.rungKb().get(rung)
                        * config.classes().get(classIndex).scale();
            for (int rung = 0; rung < rungs; rung++) worthPerKb[classIndex][rung] = concaveHullSlope(classIndex, rung);
        }
        meanClassWorth = config.classes().stream()
                .mapToDouble(SessionClass::worth)
                .average()
                .orElse(1);
        OptionalDouble meanStreams =
                media.kindStreams().stream().mapToDouble(streams -> streams).average();
        loadCap = meanStreams.isPresent() ? meanStreams.getAsDouble() * meanClassWorth : Double.MAX_VALUE;
        earnedWorth = new double[rateKb.length];
        offeredWorth = new double[rateKb.length];
        classBoost = new double[rateKb.length];
        Arrays.fill(classBoost, 1);
        tenantRequestRate = new double[Math.max(1, config.tenants().size())];
        tenantRateAt = new double[tenantRequestRate.length];
        if (config.askForList()) hostActions.subscribe();
        hostActions.timer(TICK_INTERVAL_MS * (0.5 + random.nextDouble()), "tick");
    }

    /**
     * Returns the worth per kB of the step to a rung on the ladder's concave hull. On the hull the worth per kB never
     * rises from a rung to the next higher one.
     */
    private double concaveHullSlope(int classIndex, int rung) {
        SessionClass sessionClass = config.classes().get(classIndex);
        double slope = Double.MAX_VALUE;
        for (int lowRung = -1; lowRung < rung; lowRung++) {
            double steepest = 0;
            for (int highRung = rung; highRung < rateKb[classIndex].length; highRung++) {
                double worthGain = media.rungWorth().get(highRung)
                        - (lowRung < 0 ? 0 : media.rungWorth().get(lowRung));
                double rateGainKb = rateKb[classIndex][highRung] - (lowRung < 0 ? 0 : rateKb[classIndex][lowRung]);
                steepest = Math.max(steepest, worthGain / rateGainKb);
            }
            slope = Math.min(slope, steepest);
        }
        return slope * sessionClass.worth();
    }

    /**
     * Handles one event. All actions that it leads to have been called when this method returns.
     *
     * @param nowMs clock time in ms
     * @throws IllegalArgumentException when the event is null, a request's class is not in the settings, or the
     *     request's id is already in use
     */
    public void handle(double nowMs, Event event) {
        now = nowMs;
        stateVersion++;
        if (event instanceof Request request) onRequest(request);
        else if (event instanceof Takeover takeover) onTakeover(takeover);
        else if (event instanceof Started started) onStarted(started);
        else if (event instanceof AttemptEnded attemptEnded) onAttemptEnded(attemptEnded);
        else if (event instanceof Note note) onNote(note);
        else if (event instanceof Departed departed) onDeparted(departed);
        else if (event instanceof ServerList serverList) onServerList(serverList);
        else if (event instanceof ProbeEnded probeEnded) onProbeEnded(probeEnded);
        else if (event instanceof Suspected suspected) onSuspected(suspected);
        else if (event instanceof TimerFired timerFired) onTimerFired(timerFired);
        else if (!(event instanceof PeerMessage)) throw new IllegalArgumentException("the event must not be null");
    }

    // --- Requests and attempts ---

    private void onRequest(Request request) {
        checkRequest(request);
        retryBudget.recordRequest(now);
        Session session = new Session(request);
        countTenantRequest(request);
        sessions.put(request.id(), session);
        place(session);
    }

    private void checkRequest(Request request) {
        if (request.sessionClass() >= config.classes().size())
            throw new IllegalArgumentException("class " + request.sessionClass() + " is not in the settings");
        if (sessions.containsKey(request.id()))
            throw new IllegalArgumentException("request " + request.id() + " is already in use");
    }

    /** Sends the session to a server, or gives its final answer when no server can take it. */
    private void place(Session session) {
        boolean firstAttempt = session.attempts == 0;
        double remainingMs = session.request.giveUpMs() - now;
        // Rule 5: the seats of a title and class count set-ups too.
        boolean seatFree = session.sessionClass.seats() <= 0
                || seatsTaken.getOrDefault(session.seatKey(), 0) < session.sessionClass.seats();
        boolean allowed = remainingMs >= MIN_REMAINING_MS && (firstAttempt || mayAttemptAgain(session)) && seatFree;
        Server server = allowed ? chooseServer(session) : null;
        if (server == null) {
            refuseOrFail(session);
            return;
        }
        if (!firstAttempt) retryBudget.recordFurtherAttempt(now);
        session.server = server;
        session.sentAt = server.lastAttemptAt = now;
        session.triedServers.add(server.id);
        session.attempts++;
        server.pendingAttempts++;
        countSession(session, +1);
        if (session.rungSent || session.rung != session.sessionClass.lowestRung())
            hostActions.rung(session.request.id(), session.rung);
        session.rungSent |= session.rung != session.sessionClass.lowestRung();
        hostActions.attempt(session.request.id(), server.id, Math.min(remainingMs, attemptTimeoutMs(session)));
    }

    /** Returns the timeout of the next attempt in ms, from the set-up times so far and the aim of the class. */
    private double attemptTimeoutMs(Session session) {
        double usualMs = meanSetupMs < 0 ? Double.MAX_VALUE : meanSetupMs + TIMEOUT_DEVIATIONS * setupDeviationMs;
        return Math.max(MIN_TIMEOUT_MS, Math.min(TIMEOUT_AIM_FRACTION * session.sessionClass.aimMs(), usualMs));
    }

    /**
     * Returns whether a further attempt is allowed. After an attempt that may have run, a class with side effects
     * allows no further one, and a class with tokens only while the token holds (rule 2). The limit on attempts and the
     * budget (rule 6) always apply.
     */
    private boolean mayAttemptAgain(Session session) {
        if (config.limits().attempts() > 0
                && session.attempts >= config.limits().attempts()) return false;
        boolean tokenExpired = session.sessionClass.effect() == Effect.TOKEN
                && now - session.tokenStartedAt >= session.sessionClass.tokenMs();
        if (session.mayHaveRun && (session.sessionClass.effect() == Effect.SIDE_EFFECT || tokenExpired)) return false;
        return retryBudget.allowsFurtherAttempt(now);
    }

    /**
     * Gives the final answer at once: a refusal where the viewer may safely repeat the request, otherwise a failure,
     * which promises nothing about the effect.
     */
    private void refuseOrFail(Session session) {
        sessions.remove(session.request.id());
        if (session.deferredErrorServer != null) applyOutcome(session.deferredErrorServer, Outcome.ERROR);
        boolean mayBeRepeated = !session.mayHaveRun
                || session.sessionClass.effect() == Effect.PURE
                || session.sessionClass.effect() == Effect.TOKEN && session.sessionClass.group() == Group.ALL;
        double retryAfterMs = MIN_RETRY_AFTER_MS * (1 + random.nextDouble());
        if (mayBeRepeated)
            hostActions.refuse(session.request.id(), Math.min(config.limits().retryAfterMs(), retryAfterMs));
        else hostActions.fail(session.request.id());
    }

    private void onStarted(Started event) {
        Session session = sessions.get(event.id());
        if (session == null || session.server == null) return;
        session.playing = true;
        session.startedAt = now;
        if (session.deferredErrorServer != null) applyOutcome(session.deferredErrorServer, Outcome.ERROR);
        session.server.pendingAttempts--;
        session.server.failures = Math.max(0, session.server.failures - 1);
        double usualMs = meanSetupMs < 0 ? event.elapsedMs() / 2 : meanSetupMs;
        double smoothingWeight = meanSetupMs < 0 ? 1 : SETUP_SMOOTHING_WEIGHT;
        setupDeviationMs += smoothingWeight * (Math.abs(event.elapsedMs() - usualMs) - setupDeviationMs);
        meanSetupMs = usualMs + smoothingWeight * (event.elapsedMs() - usualMs);
    }

    private void onTakeover(Takeover event) {
        checkRequest(event.request());
        handedOver = true;
        Session session = new Session(event.request());
        session.server = findOrAddServer(event.server());
        session.playing = session.rungSent = true;
        session.attempts = 1;
        session.startedAt = now;
        session.rung = session.sessionClass.lowestRung();
        sessions.put(event.request().id(), session);
        countSession(session, +1);
    }

    private void onAttemptEnded(AttemptEnded event) {
        Server server = servers.get(event.server());
        Session session = sessions.get(event.id());
        boolean assigned = session != null && session.server != null && session.server.id == event.server();
        if (assigned) countSession(session, -1);
        if (assigned && !session.playing) server.pendingAttempts--;
        if (assigned) session.server = null;
        if (server != null) {
            applyLoadReport(server, event.load());
            if (assigned && !session.playing && event.outcome() == Outcome.ERROR) deferError(session, server);
            else applyOutcome(server, event.outcome());
        }
        if (!assigned) return;
        if (!event.outcome().provesNeverRan() && !session.mayHaveRun) {
            session.mayHaveRun = true;
            session.tokenServer = server;
            session.tokenStartedAt = session.sentAt;
        }
        if (session.playing && event.outcome() == Outcome.OK)
            meanSessionS += SESSION_SMOOTHING_WEIGHT * (event.elapsedMs() / 1000 - meanSessionS);
        if (session.playing || session.departed || event.closed()) sessions.remove(event.id());
        else place(session);
    }

    private void onDeparted(Departed event) {
        Session session = sessions.get(event.id());
        if (session == null) return;
        session.departed = true;
        if (session.server == null) sessions.remove(event.id());
        else if (!session.playing && config.limits().cancel()) hostActions.cancel(event.id(), session.attempts - 1);
    }

    // --- Choice of a server ---

    /**
     * Returns the server for the next attempt and sets the session's rung; null if there is none. Prefers a server
     * where the wanted rung fits, then one where a lower rung fits, and last lowers playing sessions to make room.
     */
    private Server chooseServer(Session session) {
        updatePrice();
        List<Server> candidates = new ArrayList<>();
        for (Server server : servers.values()) {
            boolean open =
                    server.ready && holdsTitle(server, session.request) && !session.triedServers.contains(server.id);
            if (open && groupAllows(session, server) && coldPaceAllows(server)) candidates.add(server);
        }
        List<Server> healthyCandidates = new ArrayList<>(candidates);
        healthyCandidates.removeIf(server -> !isHealthy(server));
        if (!healthyCandidates.isEmpty() || !fleetWideFault()) candidates = healthyCandidates;
        candidates.removeIf(server -> weightedLoad(server, session) / normalizedCapacity(server) > loadCap);
        if (config.zoneCost() > 0 && candidates.stream().anyMatch(server -> server.zone == config.zone()))
            candidates.removeIf(server -> server.zone != config.zone());
        int wantedRung = affordableRung(session);
        double tiedCapacity = 0;
        double meanUse =
                candidates.stream().mapToDouble(this::bottleneckUse).average().orElse(1);
        double meanLoadRatio = candidates.stream()
                .mapToDouble(server -> weightedLoad(server, session) / normalizedCapacity(server))
                .average()
                .orElse(1);
        Server best = null;
        double bestShare = 0;
        boolean someSuspected = candidates.stream().anyMatch(server -> !suspicionAllows(server));
        for (int pass = someSuspected ? -3 : 0; pass < 3 && best == null; pass++) {
            for (Server server : candidates) {
                // Passes below 0 leave out suspected servers that are not due for a trial. The later passes include
                // them, so that claims of peers alone never leave a viewer without a server.
                if (pass < 0 && !suspicionAllows(server)) continue;
                // Of three passes, the first needs the wanted rung to fit, the second takes any rung, and the third
                // also takes servers where a rung fits only if missing readings do not reduce the fill limit.
                int rung = highestFittingRung(
                        server, session, wantedRung, (pass + 3) % 3 < 2 ? NO_READING_FILL_REDUCTION : 0);
                if (rung < ((pass + 3) % 3 == 0 ? wantedRung : 0)) continue;
                // Readings correct the capacity: a link or uplink that is fuller than its load suggests has a lower
                // rate than its weight says.
                double observedRatio = meanUse
                        / bottleneckUse(server)
                        * weightedLoad(server, session)
                        / normalizedCapacity(server)
                        / meanLoadRatio;
                double correctedCapacity = normalizedCapacity(server)
                        * Math.max(
                                1 / MAX_CAPACITY_CORRECTION_RATIO,
                                Math.min(MAX_CAPACITY_CORRECTION_RATIO, observedRatio));
                double share = correctedCapacity * session.sessionClass.worth() / weightedLoad(server, session);
                if (share < bestShare * (1 - SHARE_TIE_FRACTION)) continue;
                if (share > bestShare * (1 + SHARE_TIE_FRACTION)) tiedCapacity = 0;
                tiedCapacity += normalizedCapacity(server);
                if (random.nextDouble() * tiedCapacity < normalizedCapacity(server)) {
                    best = server;
                    session.rung = rung;
                }
                bestShare = Math.max(bestShare, share);
            }
        }
        if (best != null) return best;
        // No rung fits: lower playing sessions of less worth per kB, if that makes enough room at one server.
        candidates.removeIf(server -> !server.rack.hasOwnSessions());
        candidates.sort(Comparator.comparingDouble((Server server) ->
                -normalizedCapacity(server) * session.sessionClass.worth() / weightedLoad(server, session)));
        for (Server server : candidates) {
            session.rung = session.sessionClass.lowestRung();
            if (makeRoom(server, session)) return server;
        }
        return null;
    }

    /**
     * Returns whether claims of peers allow an attempt at a server now. A suspected server still gets trials, unlike
     * one that is suspended for failures seen here, because peers that agree too quickly would otherwise all stop
     * using it, and later all return, at the same time. Managers take turns by the common clock, as at a cold server,
     * so that all their trials together are one in {@link #SUSPECTED_TRIAL_INTERVAL_MS}, and more for weaker claims.
     * Trials that work lower the strength only through the host, which reports it by {@link Suspected}.
     */
    private boolean suspicionAllows(Server server) {
        if (server.suspicionStrength <= 0) return true;
        double turnMs = SUSPECTED_TRIAL_INTERVAL_MS * server.suspicionStrength;
        double roundMs = turnMs * Math.max(1, config.controllers());
        double phaseMs = (now - turnMs * ((config.self() + server.id) % Math.max(1, config.controllers()))) % roundMs;
        return (phaseMs + roundMs) % roundMs < turnMs
                && now - server.lastAttemptAt > turnMs
                && server.pendingAttempts == 0;
    }

    private void onSuspected(Suspected event) {
        Server server = servers.get(event.server());
        if (server != null) server.suspicionStrength = Math.max(0, Math.min(1, event.strength()));
    }

    /** Returns whether the server's cell is among the cells that hold the title. */
    private boolean holdsTitle(Server server, Request request) {
        int cells = media.cells();
        return cells <= 0
                || request.span() >= cells
                || Math.floorMod(server.cell - request.homeCell(), cells) < request.span();
    }

    /** Returns whether the server is in the group where the session's token holds, if an attempt may have run. */
    private boolean groupAllows(Session session, Server server) {
        if (!session.mayHaveRun
                || session.sessionClass.effect() != Effect.TOKEN
                || session.sessionClass.group() == Group.ALL) return true;
        return session.sessionClass.group() == Group.ZONE
                ? server.zone == session.tokenServer.zone
                : server.cell == session.tokenServer.cell;
    }

    /**
     * Returns whether the pace of set-ups at a cold server allows one now (rule 4). Managers take turns at a cold
     * server by the common clock: each sends one set-up, in the first half of its own turn. So all managers together
     * stay under the permitted pace in any window without messages between them.
     */
    private boolean coldPaceAllows(Server server) {
        double warmAfterMs = config.rules().warmAfterMs();
        boolean cold = now - server.coldSince < warmAfterMs;
        if (!cold && (handedOver || now - startedAt >= UNKNOWN_COLD_MS)) return true;
        double streams =
                server.kind < media.kindStreams().size() ? media.kindStreams().get(server.kind) : 1;
        double setupsPerMs = COLD_PACE_FRACTION
                * config.rules().tipMultiple()
                * config.rules().coldFrom()
                * streams
                / warmAfterMs;
        double turnMs = 1 / setupsPerMs;
        double roundMs = turnMs * Math.max(1, config.controllers());
        if (!cold) return now - server.lastAttemptAt > roundMs;
        // The server's number shifts the turns, in the same way for all managers, so that a manager whose turn it is
        // not at one server has its turn at another.
        double phaseMs = (now - turnMs * ((config.self() + server.id) % Math.max(1, config.controllers()))) % roundMs;
        return (phaseMs + roundMs) % roundMs < turnMs / 2 && now - server.lastAttemptAt > turnMs / 2;
    }

    /**
     * Returns the weighted load of a server: the worth of its sessions, including the newcomer and the load of peers,
     * and recently lost attempts at the mean worth of a class.
     */
    private double weightedLoad(Server server, Session session) {
        while (!server.lostAttemptTimes.isEmpty() && now - server.lostAttemptTimes.peekFirst() > LOST_ATTEMPT_LOAD_MS)
            server.lostAttemptTimes.removeFirst();
        double peerStreams = server.peerStreams >= 0 ? server.peerStreams : server.peerKb / meanSessionKb();
        double peerWeight = readingWeight(server.evidenceAt);
        // A server without readings is taken to carry the average load for its link, with the newcomer counted in
        // that load. Otherwise only the load of peers would be proportional to the link, the newcomer would weigh least
        // on the largest link, and all managers would send there.
        double averageLoad = normalizedCapacity(server)
                * (averageLinkUse() * meanLinkKb / meanSessionKb() * meanClassWorth + session.sessionClass.worth());
        double peerLoad = peerWeight * peerStreams * meanClassWorth
                + (1 - peerWeight) * Math.max(0, averageLoad - server.ownWorth - session.sessionClass.worth());
        return server.ownWorth
                + peerLoad
                + server.lostAttemptTimes.size() * meanClassWorth
                + session.sessionClass.worth();
    }

    /** Returns the mean demand of an own session, or the rate of the middle rung while there is none, in kB/s. */
    private double meanSessionKb() {
        return totalOwnKb > 0
                ? totalOwnKb / placedSessions
                : media.rungKb().get(media.rungKb().size() / 2);
    }

    /** Returns the normalized service capacity of a server: the rate of its link over that of the mean link. */
    private double normalizedCapacity(Server server) {
        return server.linkKb / meanLinkKb;
    }

    /** Returns the highest rung whose steps are worth the present price; the top rung while room is not scarce. */
    private int affordableRung(Session session) {
        int rung = session.sessionClass.lowestRung();
        while (rung < session.topRung()
                && worthPerKb[session.classIndex][rung + 1] * session.worthFactor() >= pricePerKb) rung++;
        return rung;
    }

    /**
     * Returns the highest rung, up to the wanted one, that fits under the fill limit; -1 if none does. The limit is
     * reduced at a server without recent readings, because an average says little about one link. The reduction grows
     * with the number of peers and with the part of the fleet that has no recent readings.
     */
    private int highestFittingRung(Server server, Session session, int wantedRung, double noReadingReduction) {
        double peerFraction = 1 - 1.0 / Math.max(1, config.controllers());
        double fillLimit = FILL_LIMIT_FRACTION
                - noReadingReduction
                        * peerFraction
                        * (1 - coveredLinkFraction)
                        * (1 - readingWeight(server.evidenceAt));
        int rung = wantedRung;
        while (rung >= session.sessionClass.lowestRung()
                && !fits(server, addedDemandKb(server, session, rung), fillLimit)) rung--;
        return rung >= session.sessionClass.lowestRung() ? rung : -1;
    }

    /** Returns the demand in kB/s that the session would add to the link; less where it shares a live stream. */
    private double addedDemandKb(Server server, Session session, int rung) {
        boolean joins =
                session.sessionClass.live() && server.streamSessions.getOrDefault(session.streamKey(rung), 0) > 0;
        return rateKb[session.classIndex][rung] * (joins ? media.join() : 1);
    }

    /**
     * Returns the use of the link or the uplink, whichever is higher. An uplink counts only if its use has been read,
     * because an estimate from delivered shares is too inexact to compare servers by.
     */
    private double bottleneckUse(Server server) {
        return Math.max(
                MIN_COMPARED_USE,
                Math.max(linkUse(server), server.rack.readingAt > NEVER ? uplinkUse(server.rack) : 0));
    }

    /** Returns whether the demand fits under the limit of the link and under that of the uplink. */
    private boolean fits(Server server, double addedKb, double fillLimit) {
        return linkUse(server) + addedKb / server.linkKb <= fillLimit
                && uplinkUse(server.rack) + server.rack.uplinkFraction(addedKb) <= FILL_LIMIT_FRACTION;
    }

    // --- Estimates of links and uplinks ---

    /** Returns the demand on the link over its rate: that of own sessions and the estimated demand of peers. */
    private double linkUse(Server server) {
        return (server.ownKb + estimatedPeerKb(server)) / server.linkKb;
    }

    /**
     * Returns the estimated demand of peers on the link, in kB/s. A reading loses weight against the average over all
     * links as it ages, because a server once read as full would never be tried again otherwise.
     */
    private double estimatedPeerKb(Server server) {
        double weight = readingWeight(server.evidenceAt);
        double assumedKb = weight > 0.99 ? 0 : Math.max(0, averageLinkUse() * server.linkKb - server.ownKb);
        return weight * server.peerKb + (1 - weight) * assumedKb;
    }

    /** Returns the weight of a reading by its age: 1 for up to two intervals of notes, then exponentially less. */
    private double readingWeight(double evidenceAt) {
        double overdueMs = now - evidenceAt - 2 * media.noteEveryMs();
        return evidenceAt <= 0 ? 0 : overdueMs <= 0 ? 1 : Math.exp(-overdueMs / READING_DECAY_MS);
    }

    /**
     * Returns the mean use of the links that have recent readings, with a small weight of a prior. It is computed once
     * for all events with the same clock time.
     */
    private double averageLinkUse() {
        if (averagedAt == now) return averageLinkUse;
        averagedAt = now;
        double coveredDemandKb = 0, coveredLinkKb = 0;
        for (Iterator<Server> iterator = serversWithReadings.iterator(); iterator.hasNext(); ) {
            Server server = iterator.next();
            // A server that peers suspect is probably broken, not full, so its use says nothing about other links.
            double readingWeight = server.ready && server.suspicionStrength <= 0 ? readingWeight(server.evidenceAt) : 0;
            coveredDemandKb += readingWeight * (server.ownKb + server.peerKb);
            coveredLinkKb += readingWeight * server.linkKb;
            if (readingWeight < MIN_READING_WEIGHT) iterator.remove();
        }
        double totalUplinkKb =
                media.racks() > 0 && media.uplinkKb() > 0 ? racks.size() * media.uplinkKb() : totalLinkKb;
        double priorUse = PRIOR_USE_FRACTION * Math.min(1, totalUplinkKb / Math.max(1, totalLinkKb));
        if (handedOver) priorUse = Math.min(priorUse, totalOwnKb * config.controllers() / Math.max(1, totalLinkKb));
        double priorWeightKb = PRIOR_WEIGHT_LINKS * meanLinkKb;
        coveredLinkFraction = Math.min(1, coveredLinkKb / Math.max(1, totalLinkKb));
        averageLinkUse = totalLinkKb <= 0
                ? priorUse
                : (coveredDemandKb + priorWeightKb * priorUse) / (coveredLinkKb + priorWeightKb);
        return averageLinkUse;
    }

    /** Returns the corrected demand on the uplink over its rate; 0 where uplinks are not limited. */
    private double uplinkUse(Rack rack) {
        return rack.uplinkKb <= 0 ? 0 : rack.correction * rack.demandKb(now) / rack.uplinkKb;
    }

    /**
     * Updates the estimates from a server's load report: {@code x0} or {@code util}, use of the link; {@code inflight},
     * streams; {@code x1}, use of the uplink. A {@code util} of nearly 1 is a lower bound, because it does not go
     * above 1.
     */
    private void applyLoadReport(Server server, Map<String, Double> loadReport) {
        Double linkUse = loadReport.containsKey("x0") ? loadReport.get("x0") : loadReport.get("util");
        if (linkUse != null)
            applyLinkReading(
                    server,
                    linkUse,
                    REPORT_AGE_MS,
                    REPORT_SMOOTHING_WEIGHT,
                    !loadReport.containsKey("x0") && linkUse >= FULL_UTIL);
        if (loadReport.containsKey("inflight"))
            server.peerStreams = Math.max(0, loadReport.get("inflight") - server.sessions.size());
        if (loadReport.containsKey("x1"))
            applyUplinkReading(server.rack, loadReport.get("x1"), REPORT_AGE_MS, REPORT_SMOOTHING_WEIGHT);
    }

    /**
     * Updates the estimated demand of peers from a reading of the link's use.
     *
     * @param linkUse demand over the link's rate
     * @param ageMs age of the reading in ms
     * @param smoothingWeight weight of the reading against earlier ones
     * @param isLowerBound whether the real use may be higher
     */
    private void applyLinkReading(
            Server server, double linkUse, double ageMs, double smoothingWeight, boolean isLowerBound) {
        // A reading from before the last lowering took effect does not describe the present use.
        if (now - ageMs < Math.max(server.lastReliefAt, server.rack.lastReliefAt) + RELIEF_EFFECT_MS) return;
        double peerKb = Math.max(0, Math.min(MAX_USE_RATIO, linkUse) * server.linkKb - server.ownKbAt(now - ageMs));
        if (server.evidenceAt <= 0) server.peerKb = peerKb;
        else if (!isLowerBound || peerKb > server.peerKb) server.peerKb += smoothingWeight * (peerKb - server.peerKb);
        server.readingAt = now;
        recordEvidence(server);
    }

    /** Records that something about the use of the link was learned now. */
    private void recordEvidence(Server server) {
        server.evidenceAt = now;
        serversWithReadings.add(server);
        stateVersion++;
    }

    /** Updates the correction of a rack's uplink from a reading of the uplink's use that is {@code ageMs} old. */
    private void applyUplinkReading(Rack rack, double uplinkUse, double ageMs, double smoothingWeight) {
        if (now - ageMs < rack.lastReliefAt + RELIEF_EFFECT_MS) return;
        double estimatedUse = rack.demandKb(now - ageMs) / Math.max(1, rack.uplinkKb);
        if (estimatedUse > MIN_CORRECTABLE_USE) {
            double observedCorrection =
                    Math.max(MIN_CORRECTION_RATIO, Math.min(MAX_CORRECTION_RATIO, uplinkUse / estimatedUse));
            rack.correction += (rack.readingAt > NEVER ? smoothingWeight : 1) * (observedCorrection - rack.correction);
            rack.readingAt = now;
        }
        rack.evidenceAt = now;
    }

    private void onNote(Note note) {
        Session session = sessions.get(note.id());
        Server server = servers.get(note.server());
        if (server == null) return;
        // A note that arrives so soon after its session's start cannot have the usual age, so it counts as new.
        boolean justStarted =
                session != null && now - session.startedAt < media.noteDelayMs() / 2 && session.attempts > 0;
        switch (note.kind()) {
            case RUNG -> {
                int rung = (int) Math.max(0, Math.min(media.rungKb().size() - 1, note.value()));
                if (session != null && session.server != null && rung != session.rung) changeRung(session, rung);
            }
            case LINK_USE ->
                applyLinkReading(
                        server, note.value(), justStarted ? 0 : media.noteDelayMs(), NOTE_SMOOTHING_WEIGHT, false);
            case UPLINK_USE ->
                applyUplinkReading(
                        server.rack, note.value(), justStarted ? 0 : media.noteDelayMs(), NOTE_SMOOTHING_WEIGHT);
            case DELIVERED_SHARE -> applyDeliveredShare(server, note.value());
        }
        relieveOverload(server);
    }

    /**
     * Raises the estimated use from a note of short delivery: that of the uplink if many servers of the rack have short
     * delivery, otherwise that of the link. A server that delivers next to nothing is suspended instead.
     */
    private void applyDeliveredShare(Server server, double deliveredShare) {
        server.shortDeliveryAt = deliveredShare >= FULL_DELIVERY_FRACTION ? NEVER : now;
        if (deliveredShare >= FULL_DELIVERY_FRACTION || server.suspicionStrength > 0) return;
        if (now - media.noteDelayMs() < Math.max(server.lastReliefAt, server.rack.lastReliefAt) + 2 * RELIEF_EFFECT_MS)
            return;
        double shownUse = Math.min(MAX_USE_RATIO, 1 / Math.max(MIN_DELIVERED_SHARE, deliveredShare));
        double ownKb = server.ownKbAt(now - media.noteDelayMs());
        double estimatedUse = Math.max((ownKb + estimatedPeerKb(server)) / server.linkKb, uplinkUse(server.rack));
        // A link or uplink that recent notes showed to be full needs no correction, because those notes are more exact
        // than the delivered share, which is smoothed and late.
        boolean linkReadingRecent = isRecent(server.readingAt);
        boolean uplinkReadingRecent = isRecent(server.rack.readingAt);
        boolean shownFull = linkReadingRecent && linkUse(server) >= FULL_DELIVERY_FRACTION
                || uplinkReadingRecent && uplinkUse(server.rack) >= FULL_DELIVERY_FRACTION;
        if (shownFull || estimatedUse >= shownUse) return;
        int shortServers = 0;
        int usedServers = 0;
        for (Server other : server.rack.servers) {
            if (now - other.shortDeliveryAt < SHORT_DELIVERY_VALID_MS) shortServers++;
            if (!other.sessions.isEmpty()) usedServers++;
        }
        // If a recent reading shows room on the link, the uplink is short, even if this is the only server of the rack
        // in use here.
        boolean rackShort = shortServers >= SHORT_RACK_FRACTION * usedServers;
        if (deliveredShare < DEAD_DELIVERY_FRACTION
                && estimatedUse < shownUse / 2
                && !(rackShort && shortServers >= 2)) {
            suspend(server);
        } else if (rackShort
                && (linkReadingRecent || shortServers >= 2)
                && server.rack.uplinkKb > 0
                && !uplinkReadingRecent) {
            double correction = shownUse * server.rack.uplinkKb / Math.max(1, server.rack.demandKb(now));
            server.rack.correction = Math.min(MAX_CORRECTION_RATIO, Math.max(server.rack.correction, correction));
            server.rack.evidenceAt = now;
        } else {
            raiseLinkEstimate(server, shownUse);
        }
    }

    /** Returns whether a reading is at most two intervals of notes old. */
    private boolean isRecent(double readingAt) {
        return now - readingAt <= 2 * media.noteEveryMs();
    }

    /** Raises the estimated demand of peers so that the use of the link is at least the given one. */
    private void raiseLinkEstimate(Server server, double linkUse) {
        server.peerKb = Math.max(estimatedPeerKb(server), linkUse * server.linkKb - server.ownKb);
        recordEvidence(server);
    }

    // --- Rungs of playing sessions ---

    /**
     * Updates the price per kB: the worth per kB that a step must have so that the demand of own sessions stays within
     * this manager's part of the room. It is 0 while there is room for all steps.
     */
    private void updatePrice() {
        if (now - pricedAt < TICK_INTERVAL_MS) return;
        pricedAt = now;
        double targetKb = 0;
        for (Rack rack : racks.values()) {
            double linkRoomKb = 0;
            double demandKb = 0;
            double ownKb = 0;
            for (Server server : rack.servers) ownKb += server.ownKb;
            if (ownKb <= 0) continue;
            for (Server server : rack.servers) {
                if (server.ready && isHealthy(server)) {
                    linkRoomKb += server.linkKb * FILL_LIMIT_FRACTION;
                    demandKb += server.ownKb + estimatedPeerKb(server);
                }
            }
            double roomKb = rack.uplinkKb > 0
                    ? Math.min(linkRoomKb, FILL_LIMIT_FRACTION * rack.uplinkKb / rack.correction)
                    : linkRoomKb;
            targetKb += demandKb > 0 ? ownKb * roomKb / demandKb : roomKb / Math.max(1, config.controllers());
        }
        TreeMap<Double, Double> stepRateKbByWorthPerKb = new TreeMap<>(Comparator.reverseOrder());
        double floorKb = 0;
        double oneSessionOfEachClassKb = 0;
        for (double[] classRates : rateKb) oneSessionOfEachClassKb += classRates[0];
        // Sessions of one class and tenant have the same worth factor. Their steps are counted together, because
        // sorting all sessions would make a decision too slow.
        Map<Integer, int[]> countsByGroup = new TreeMap<>();
        for (Session session : sessions.values()) {
            if (session.server == null) continue;
            floorKb += rateKb[session.classIndex][session.sessionClass.lowestRung()];
            int group = session.request.tenant() * rateKb.length + session.classIndex;
            int[] sessionCounts = countsByGroup.computeIfAbsent(group, key -> new int[rateKb[0].length]);
            for (int rung = session.sessionClass.lowestRung() + 1, topRung = session.topRung(); rung <= topRung; rung++)
                sessionCounts[rung]++;
        }
        for (Map.Entry<Integer, int[]> group : countsByGroup.entrySet()) {
            int classIndex = group.getKey() % rateKb.length;
            double worthFactor = tenantWorthFactor(group.getKey() / rateKb.length) * classBoost[classIndex];
            for (int rung = 1; rung < rateKb[classIndex].length; rung++) {
                int sessionCount = group.getValue()[rung];
                if (sessionCount > 0)
                    stepRateKbByWorthPerKb.merge(
                            worthPerKb[classIndex][rung] * worthFactor,
                            sessionCount * (rateKb[classIndex][rung] - rateKb[classIndex][rung - 1]),
                            Double::sum);
            }
        }
        double usedKb = floorKb;
        pricePerKb = 0;
        // Demand of less than one session of each class is too little for a price.
        if (floorKb <= oneSessionOfEachClassKb) return;
        for (Map.Entry<Double, Double> step : stepRateKbByWorthPerKb.entrySet()) {
            usedKb += step.getValue();
            pricePerKb = step.getKey();
            if (usedKb > targetKb) return;
        }
        pricePerKb = 0;
    }

    private void onTimerFired(TimerFired event) {
        if (event.name().equals("list")) hostActions.subscribe();
        if (!event.name().equals("tick")) return;
        double elapsedS = (now - lastTickAt) / 1000;
        lastTickAt = now;
        hostActions.timer(TICK_INTERVAL_MS * (0.8 + 0.4 * random.nextDouble()), "tick");
        updateClassBoosts(elapsedS);
        updatePrice();
        raiseTokens = Math.min(rateKb[0].length, raiseTokens + RAISES_PER_SESSION_SECOND * sessions.size() * elapsedS);
        for (Rack rack : racks.values()) {
            boolean noReading = rack.readingAt == NEVER;
            double quietMs = now - rack.evidenceAt - (noReading ? 0 : 2 * media.noteEveryMs());
            double decayFactor = rack.correction > USUAL_CORRECTION_RATIO ? FAST_DECAY_FACTOR : 1;
            boolean useOverestimated = noReading
                    && quietMs > RAISE_WAIT_MS
                    && rack.hasOwnSessions()
                    && uplinkUse(rack) > OVERESTIMATED_USE_FRACTION;
            if (rack.correction > 1 && quietMs > SHORT_DELIVERY_VALID_MS || useOverestimated)
                rack.correction = Math.max(
                        useOverestimated ? MIN_CORRECTION_RATIO : 1,
                        rack.correction * (1 - CORRECTION_DECAY_PER_S * elapsedS * decayFactor));
        }
        for (Server server : servers.values()) {
            if (!server.sessions.isEmpty()) relieveOverload(server);
        }
        raiseSessions();
    }

    /**
     * Lowers own sessions where a link or an uplink is short, by this manager's part of the excess. It does so once for
     * each piece of evidence and never from the average alone. Peers receive the same notes and are assumed to
     * lower their own part.
     */
    private void relieveOverload(Server server) {
        double linkUse = linkUse(server);
        if (linkUse > RELIEF_TRIGGER_RATIO && server.evidenceAt > server.lastReliefAt) {
            server.lastReliefAt = now;
            server.peerKb *= RELIEF_TARGET_FRACTION / linkUse;
            lowerSessions(
                    new ArrayList<>(server.sessions),
                    server.ownKb * (linkUse - RELIEF_TARGET_FRACTION) / linkUse,
                    Double.MAX_VALUE);
        }
        Rack rack = server.rack;
        double uplinkUse = uplinkUse(rack);
        if (uplinkUse > RELIEF_TRIGGER_RATIO && rack.evidenceAt > rack.lastReliefAt) {
            rack.lastReliefAt = now;
            double ownKb = 0;
            for (Server other : rack.servers) {
                ownKb += other.ownKb;
                other.peerKb = estimatedPeerKb(other) * RELIEF_TARGET_FRACTION / uplinkUse;
            }
            lowerSessions(
                    rack.ownSessions(), ownKb * (uplinkUse - RELIEF_TARGET_FRACTION) / uplinkUse, Double.MAX_VALUE);
        }
    }

    /**
     * Lowers playing sessions, the least worth per kB first, with one action for each session.
     *
     * @param neededKb demand in kB/s to be freed
     * @param worthLimit only steps of less worth per kB are taken; {@link Double#MAX_VALUE} for all
     * @return the demand in kB/s that was freed
     */
    private double lowerSessions(List<Session> ownSessions, double neededKb, double worthLimit) {
        double freedKb = 0;
        stateVersion++;
        Set<Session> changedSessions = new LinkedHashSet<>();
        while (freedKb < neededKb) {
            Session cheapest = null;
            for (Session session : ownSessions) {
                boolean mayLower = session.playing
                        && session.rung > session.sessionClass.lowestRung()
                        && session.stepWorthPerKb() < worthLimit;
                if (mayLower && (cheapest == null || session.stepWorthPerKb() < cheapest.stepWorthPerKb()))
                    cheapest = session;
            }
            if (cheapest == null) break;
            // A remainder smaller than a step is rounded up or down at random, because otherwise each of a hundred
            // managers would lower by a whole step.
            double stepKb = rateKb[cheapest.classIndex][cheapest.rung] - rateKb[cheapest.classIndex][cheapest.rung - 1];
            if (worthLimit == Double.MAX_VALUE && random.nextDouble() * stepKb > neededKb - freedKb) break;
            double ownKbBefore = cheapest.server.ownKb;
            changeRung(cheapest, cheapest.rung - 1);
            cheapest.rungChangedAt = now;
            changedSessions.add(cheapest);
            freedKb += ownKbBefore - cheapest.server.ownKb;
        }
        for (Session session : changedSessions) hostActions.rung(session.request.id(), session.rung);
        return freedKb;
    }

    /**
     * Lowers playing sessions whose last steps are worth less per kB than the newcomer's lowest rung, if that makes
     * enough room on link and uplink. Returns whether it did.
     */
    private boolean makeRoom(Server server, Session session) {
        double newcomerWorthPerKb =
                worthPerKb[session.classIndex][session.sessionClass.lowestRung()] * session.worthFactor();
        double addedKb = addedDemandKb(server, session, session.sessionClass.lowestRung());
        double uplinkKb = server.rack.uplinkKb;
        double excessLinkKb = (linkUse(server) - FILL_LIMIT_FRACTION) * server.linkKb + addedKb;
        double excessUplinkKb = uplinkKb <= 0
                ? 0
                : (uplinkUse(server.rack) - FILL_LIMIT_FRACTION) * uplinkKb / server.rack.correction + addedKb;
        List<Session> rackSessions = server.rack.ownSessions();
        if (lowerableKb(server.sessions, newcomerWorthPerKb) < excessLinkKb
                || lowerableKb(rackSessions, newcomerWorthPerKb) < excessUplinkKb) return false;
        double freedKb = excessLinkKb > 0
                ? lowerSessions(new ArrayList<>(server.sessions), excessLinkKb, newcomerWorthPerKb)
                : 0;
        if (excessUplinkKb > freedKb) lowerSessions(rackSessions, excessUplinkKb - freedKb, newcomerWorthPerKb);
        return true;
    }

    /** Returns the demand in kB/s that steps of less worth per kB than the limit have in playing sessions. */
    private double lowerableKb(Iterable<Session> ownSessions, double worthLimit) {
        double totalKb = 0;
        for (Session session : ownSessions) {
            for (int rung = session.rung; session.playing && rung > session.sessionClass.lowestRung(); rung--)
                totalKb += worthPerKb[session.classIndex][rung] * session.worthFactor() < worthLimit
                        ? rateKb[session.classIndex][rung] - rateKb[session.classIndex][rung - 1]
                        : 0;
        }
        return totalKb;
    }

    /**
     * Raises own sessions up to the rung that the price allows, each in one change, where there has been room for some
     * time. Tokens limit the number of steps.
     */
    private void raiseSessions() {
        List<Session> raisable = new ArrayList<>();
        for (Session session : sessions.values()) {
            double lastChangeAt = !session.playing
                    ? now
                    : Math.max(
                            Math.max(session.rungChangedAt, session.startedAt),
                            Math.max(session.server.lastReliefAt, session.server.rack.lastReliefAt));
            if (now - lastChangeAt > RAISE_WAIT_MS && session.rung < affordableRung(session)) raisable.add(session);
        }
        raisable.sort(Comparator.comparingDouble(
                session -> -worthPerKb[session.classIndex][session.rung + 1] * session.worthFactor()));
        for (Session session : raisable) {
            int rung = affordableRung(session);
            while (rung > session.rung && !hasRoomToRaise(session, rung)) rung--;
            if (rung == session.rung) continue;
            if (raiseTokens < rung - session.rung) return;
            raiseTokens -= rung - session.rung;
            changeRung(session, rung);
            session.rungChangedAt = now;
            hostActions.rung(session.request.id(), rung);
        }
    }

    /** Returns whether link and uplink stay under the limit for raises with the session at the given rung. */
    private boolean hasRoomToRaise(Session session, int rung) {
        double addedKb = rateKb[session.classIndex][rung] - rateKb[session.classIndex][session.rung];
        return linkUse(session.server) + addedKb / session.server.linkKb <= RAISE_LIMIT_FRACTION
                && uplinkUse(session.server.rack) + session.server.rack.uplinkFraction(addedKb) <= RAISE_LIMIT_FRACTION;
    }

    /** Sets the rung of a session and updates the counts of its server. */
    private void changeRung(Session session, int rung) {
        countSession(session, -1);
        session.rung = rung;
        countSession(session, +1);
    }

    // --- Health of servers ---

    /** Returns whether a server is not suspended. After failures it takes one attempt at a time. */
    private boolean isHealthy(Server server) {
        return now >= server.suspendedUntil && (server.failures == 0 || server.pendingAttempts == 0);
    }

    /** Returns whether so many servers look unhealthy that the fault is not theirs. */
    private boolean fleetWideFault() {
        long readyServers =
                servers.values().stream().filter(server -> server.ready).count();
        return servers.values().stream()
                        .filter(server -> server.ready && !isHealthy(server))
                        .count()
                >= FLEET_FAULT_FRACTION * readyServers;
    }

    /** Updates the health of a server by how an attempt or a probe ended, whatever the cause. */
    private void applyOutcome(Server server, Outcome outcome) {
        switch (outcome) {
            case TIMEOUT, ERROR -> {
                server.lostAttemptTimes.addLast(now);
                suspend(server);
            }
            case CONNECT_FAILED, RESET -> {
                // A restart may show in no other way, so the server counts as cold from the last failure on.
                server.coldSince = Math.max(server.coldSince, now);
                suspend(server);
            }
            case FULL -> {
                if (media.fullFrom() <= 0)
                    server.suspendedUntil = Math.max(server.suspendedUntil, now + FIRST_SUSPENSION_MS);
                else raiseLinkEstimate(server, media.fullFrom());
            }
            default -> {}
        }
    }

    /**
     * Defers an error until the cause is clear. The first error of a request counts against its server once the same
     * request plays elsewhere or gets its final answer; after a second error neither server is blamed. Otherwise
     * requests that no server can serve, such as those for one viewer's broken title, would suspend the whole fleet.
     * The cost is that a request that meets two failing servers suspends neither; a later request does.
     */
    private void deferError(Session session, Server server) {
        session.deferredErrorServer = session.hadError ? null : server;
        session.hadError = true;
    }

    /** Counts a failure and suspends the server; the length doubles with each failure. Counts once per clock time. */
    private void suspend(Server server) {
        if (now > server.lastFailureAt) {
            server.lastFailureAt = now;
            server.failures = Math.min(server.failures + 1, 2 + (int) MAX_SUSPENSION_DOUBLINGS);
        }
        double suspensionMs =
                FIRST_SUSPENSION_MS * (1 << (int) Math.min(MAX_SUSPENSION_DOUBLINGS, server.failures - 1));
        server.suspendedUntil = Math.max(server.suspendedUntil, now + suspensionMs);
    }

    private void onProbeEnded(ProbeEnded event) {
        Server server = findOrAddServer(event.server());
        applyLoadReport(server, event.load());
        applyOutcome(server, event.outcome());
    }

    // --- List of servers ---

    private void onServerList(ServerList event) {
        boolean failed = event.scope() == ListScope.FAILED;
        if (failed && config.askForList()) hostActions.timer(LIST_RETRY_MS * (1 + random.nextDouble()), "list");
        if (failed) return;
        boolean outdated = event.version() < listVersion;
        listVersion = Math.max(listVersion, event.version());
        Set<Long> listedIds = new HashSet<>();
        for (ServerEntry entry : event.servers()) {
            listedIds.add(entry.server());
            Server server = findOrAddServer(entry.server());
            boolean restarted = entry.startedMs() > server.coldSince;
            if (restarted) server.coldSince = entry.startedMs();
            // An older list may withdraw a server but not make one ready again.
            boolean ready = entry.state() == ServerState.READY;
            if (!outdated || !ready || restarted || !server.listed) server.ready = ready;
            server.listed = true;
            server.kind = entry.kind();
            server.zone = entry.zone();
            server.cell = entry.cell();
            server.linkKb = Math.max(1, media.linkKbPerWeight() * (entry.weight() > 0 ? entry.weight() : 1));
            assignRack(server, media.racks() > 0 ? entry.cell() % media.racks() : 0);
        }
        if (event.scope() != ListScope.CHANGES)
            for (Server server : servers.values()) server.ready &= listedIds.contains(server.id);
        forgetGoneServers();
        totalLinkKb = servers.values().stream()
                .filter(server -> server.ready)
                .mapToDouble(server -> server.linkKb)
                .sum();
        meanLinkKb = Math.max(
                1,
                totalLinkKb
                        / Math.max(
                                1,
                                servers.values().stream()
                                        .filter(server -> server.ready)
                                        .count()));
    }

    /**
     * Forgets servers that have been gone for some time and play nothing. Otherwise a fleet whose servers are replaced
     * under new names would fill the memory.
     */
    private void forgetGoneServers() {
        for (Iterator<Server> iterator = servers.values().iterator(); iterator.hasNext(); ) {
            Server server = iterator.next();
            if (server.ready || !server.listed || !server.sessions.isEmpty()) server.unusedSince = now;
            if (now - server.unusedSince < FORGET_SERVER_MS) continue;
            iterator.remove();
            server.rack.servers.remove(server);
            serversWithReadings.remove(server);
        }
    }

    /** Returns the number of servers held in memory, for the host's metrics. */
    public int serversHeld() {
        return servers.size();
    }

    /** Returns the server with this id; adds it with default properties if it is unknown. */
    private Server findOrAddServer(long id) {
        Server server = servers.get(id);
        if (server == null) {
            server = new Server(id);
            server.linkKb = Math.max(1, media.linkKbPerWeight());
            server.unusedSince = now;
            servers.put(id, server);
            assignRack(server, 0);
        }
        return server;
    }

    /** Moves the server to the rack with this number, which is created if it is new. */
    private void assignRack(Server server, int rackNumber) {
        Rack rack = racks.computeIfAbsent(rackNumber, key -> new Rack(media.racks() > 0 ? media.uplinkKb() : 0));
        if (server.rack != rack) {
            if (server.rack != null) server.rack.servers.remove(server);
            server.rack = rack;
            rack.servers.add(server);
        }
    }

    // --- Counts ---

    /**
     * Adds a session to the counts of its server, or removes it.
     *
     * @param sign +1 to add, -1 to remove
     */
    private void countSession(Session session, int sign) {
        Server server = session.server;
        double ownKbBefore = server.ownKb;
        String streamKey = session.sessionClass.live() ? session.streamKey(session.rung) : null;
        int sharingSessions = streamKey == null ? 0 : server.streamSessions.getOrDefault(streamKey, 0);
        boolean joins = streamKey != null && (sign > 0 ? sharingSessions > 0 : sharingSessions > 1);
        server.ownKb = Math.max(
                0, server.ownKb + sign * rateKb[session.classIndex][session.rung] * (joins ? media.join() : 1));
        server.ownWorth = Math.max(0, server.ownWorth + sign * session.sessionClass.worth());
        if (streamKey != null) addToCount(server.streamSessions, streamKey, sign);
        if (sign > 0) server.sessions.add(session);
        else server.sessions.remove(session);
        if (session.sessionClass.seats() > 0) addToCount(seatsTaken, session.seatKey(), sign);
        server.recordDemandChange(now, server.ownKb - ownKbBefore);
        totalOwnKb += server.ownKb - ownKbBefore;
        placedSessions += sign;
        stateVersion++;
    }

    /** Changes a count and removes it at 0, so that the map does not keep every key that was ever used. */
    private static void addToCount(Map<String, Integer> counts, String key, int change) {
        counts.merge(key, change, (count, added) -> count + added == 0 ? null : count + added);
    }

    /** Counts a new viewer in its tenant's request rate; repeats, moves and returning viewers were counted before. */
    private void countTenantRequest(Request request) {
        if (request.tenant() >= tenantRequestRate.length || request.retry() || request.returning() || request.moved())
            return;
        double decay = Math.exp(-(now - tenantRateAt[request.tenant()]) / 1000 / TENANT_RATE_TIME_CONSTANT_S);
        tenantRequestRate[request.tenant()] =
                tenantRequestRate[request.tenant()] * decay + 1 / TENANT_RATE_TIME_CONSTANT_S;
        tenantRateAt[request.tenant()] = now;
    }

    /**
     * Returns the mean worth of a tenant's sessions as a fraction of the class's worth. It is a mean because nothing
     * says which of its sessions are beyond the tenant's quota.
     */
    private double tenantWorthFactor(int tenant) {
        if (tenant >= config.tenants().size()) return 1;
        double quotaPerSecond = config.tenants().get(tenant).quotaPerSecond() / Math.max(1, config.controllers());
        double requestsPerSecond = tenantRequestRate[tenant]
                * Math.exp(-(now - tenantRateAt[tenant]) / 1000 / TENANT_RATE_TIME_CONSTANT_S);
        double withinQuota =
                quotaPerSecond <= 0 || requestsPerSecond <= quotaPerSecond ? 1 : quotaPerSecond / requestsPerSecond;
        return withinQuota + config.overShareWorth() * (1 - withinQuota);
    }

    /**
     * Updates the factors on the worth of classes. The score of the service counts the worst-served class once more, by
     * a weight in the settings, so the steps of a class that is served less than the average weigh more.
     */
    private void updateClassBoosts(double elapsedS) {
        for (Session session : sessions.values()) {
            if (!session.playing) continue;
            double worth = session.sessionClass.worth() * elapsedS;
            earnedWorth[session.classIndex] += worth * media.rungWorth().get(session.rung);
            offeredWorth[session.classIndex] += worth * media.rungWorth().get(session.topRung());
        }
        double totalEarned = Arrays.stream(earnedWorth).sum();
        double totalOffered = Arrays.stream(offeredWorth).sum();
        for (int classIndex = 0; classIndex < rateKb.length; classIndex++) {
            double lag = offeredWorth[classIndex] <= 0
                    ? 0
                    : totalEarned / totalOffered - earnedWorth[classIndex] / offeredWorth[classIndex];
            double weight = config.worstClassWeight()
                    / (1 - config.worstClassWeight())
                    * totalOffered
                    / offeredWorth[classIndex];
            classBoost[classIndex] =
                    lag <= 0 ? 1 : 1 + Math.min(1, weight) * Math.min(1, lag / FULL_WEIGHT_LAG_FRACTION);
        }
    }

    /** A request and the session that results from it, from the arrival of the request to its end. */
    private final class Session {
        final Request request;
        final int classIndex;
        final SessionClass sessionClass;
        final Set<Long> triedServers = new HashSet<>();
        // Server of the pending attempt or of the playing session; null without one.
        Server server;
        // Server and start of the first attempt that may have run.
        Server tokenServer;
        double tokenStartedAt;
        // Server whose error is not yet counted against it; null without one.
        Server deferredErrorServer;
        double sentAt;
        double startedAt;
        double rungChangedAt = NEVER;
        int attempts;
        int rung;
        boolean rungSent;
        boolean playing;
        boolean mayHaveRun;
        boolean departed;
        boolean hadError;

        Session(Request request) {
            this.request = request;
            this.classIndex = request.sessionClass();
            this.sessionClass = config.classes().get(classIndex);
        }

        /** Returns the factor on the class's worth from the tenant's quota and the boost of the class. */
        double worthFactor() {
            return tenantWorthFactor(request.tenant()) * classBoost[classIndex];
        }

        /** Returns the highest rung that viewer, class and ladder allow. */
        int topRung() {
            return Math.min(request.top(), Math.min(sessionClass.highestRung(), rateKb[classIndex].length - 1));
        }

        /** Returns the worth per kB of the step to its present rung. */
        double stepWorthPerKb() {
            return worthPerKb[classIndex][rung] * worthFactor();
        }

        /** Returns the key of the title's seats in the class. */
        String seatKey() {
            return classIndex + " " + request.title();
        }

        /** Returns the key of the live stream that sessions of one class, title and rung share. */
        String streamKey(int atRung) {
            return atRung + " " + classIndex + " " + request.title();
        }
    }

    /** One server, with the demand of own sessions and the estimates about it. */
    private static final class Server {
        final long id;
        final Set<Session> sessions = new LinkedHashSet<>();
        final Map<String, Integer> streamSessions = new HashMap<>();
        final ArrayDeque<Double> lostAttemptTimes = new ArrayDeque<>();
        final ArrayDeque<double[]> demandChanges = new ArrayDeque<>();
        Rack rack;
        // Whether any list of servers has contained this server.
        boolean listed;
        boolean ready;
        int kind;
        int zone;
        int cell;
        int pendingAttempts;
        // Recent failures; a set-up that works takes one off.
        int failures;
        double linkKb;
        // Demand and worth of own sessions, set-ups included.
        double ownKb;
        double ownWorth;
        // Demand of peers when something was last learned of it.
        double peerKb;
        // Streams of peers; negative while no report has given them.
        double peerStreams = -1;
        // Last time at which anything was learned of the use of the link; 0: never.
        double evidenceAt;
        double shortDeliveryAt = NEVER;
        double lastFailureAt = NEVER;
        double suspendedUntil = NEVER;
        // Strength of the claims of peers, 0 to 1.
        double suspicionStrength;
        double coldSince = NEVER;
        double lastAttemptAt = NEVER;
        // Last time at which own sessions were lowered because the link was short.
        double lastReliefAt = NEVER;
        // Last reading of the use of the link, from a note or a report.
        double readingAt = NEVER;
        double unusedSince;

        Server(long id) {
            this.id = id;
        }

        /** Records a change of own demand in kB/s; changes of {@link #DEMAND_CHANGES_KEPT_MS} are kept. */
        void recordDemandChange(double atMs, double changeKb) {
            demandChanges.addLast(new double[] {atMs, changeKb});
            while (demandChanges.peekFirst()[0] < atMs - DEMAND_CHANGES_KEPT_MS) demandChanges.removeFirst();
        }

        /** Returns the demand of own sessions at an earlier clock time, to compare with readings that are late. */
        double ownKbAt(double atMs) {
            double ownKbThen = ownKb;
            for (double[] change : demandChanges) ownKbThen -= change[0] > atMs ? change[1] : 0;
            return Math.max(0, ownKbThen);
        }
    }

    /** One rack with its uplink. */
    private final class Rack {
        final List<Server> servers = new ArrayList<>();
        final double uplinkKb;
        // Use of the uplink over the use that the estimates of the rack's links give.
        double correction = 1;
        // Last time at which anything was learned of the use of the uplink.
        double evidenceAt;
        // Last reading of the use of the uplink.
        double readingAt = NEVER;
        // Last time at which own sessions were lowered because the uplink was short.
        double lastReliefAt = NEVER;
        double cachedDemandKb;
        // State version for which the cached demand holds.
        long cachedVersion = -1;

        Rack(double uplinkKb) {
            this.uplinkKb = uplinkKb;
        }

        /**
         * Returns the estimated demand on the uplink at a clock time, in kB/s, without the correction. The present
         * value is cached until the state changes, because each request reads it for each rack.
         */
        double demandKb(double atMs) {
            if (atMs == now && cachedVersion == stateVersion) return cachedDemandKb;
            double totalKb = 0;
            for (Server server : servers)
                totalKb += server.ready || server.ownKb > 0 ? server.ownKbAt(atMs) + estimatedPeerKb(server) : 0;
            if (atMs != now) return totalKb;
            cachedVersion = stateVersion;
            return cachedDemandKb = totalKb;
        }

        /** Returns whether an own session plays or is set up in the rack. */
        boolean hasOwnSessions() {
            return servers.stream().anyMatch(server -> !server.sessions.isEmpty());
        }

        List<Session> ownSessions() {
            return servers.stream().flatMap(server -> server.sessions.stream()).toList();
        }

        /** Returns the corrected fraction of the uplink that a demand takes; 0 where uplinks are not limited. */
        double uplinkFraction(double addedKb) {
            return uplinkKb <= 0 ? 0 : correction * addedKb / uplinkKb;
        }
    }
}
