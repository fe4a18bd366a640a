package calicovale;

import calicovale.ControllerApi.*;
import java.util.*;

/**
 * All decisions of one session manager: who plays, where and at what quality. Events, actions and settings
 * are in ControllerApi.java, the one interface file. Steps 1 to 5 of the design (normalized service capacity
 * under a weighted cap, Shikata and Hanayama) decide the ordinary path; each departure says when it acts.
 * Time comes from events only; equal events give equal actions.
 */
public final class SessionController {
    // Constants: each with its unit (parts and counts have none) and its reason.
    private static final double NEVER = Double.NEGATIVE_INFINITY, // clock time before all others
            TIE = 0.02, // part by which shares may differ and still tie: readings are rougher than that
            MARK = 0.92, // part of a link or uplink that set-ups may fill; true rates swing about the ladder
            DOUBT = 0.3, // by which the mark is lower at an unheard server: links spread so about their average
            EASE = 0.88, // part to which it is then brought: newcomers come before the next note, and floors hold
            SHED = 1.02, // part asked above which playing sessions are lowered: really short, not nearly
            RAISE = 0.74, // part asked up to which they are raised: well under MARK, or it would be undone
            CALM_MS = 6000, // ms that room must have lasted before a raise: two rounds of notes
            RAISE_PACE = 0.03, // raises per session and second: in all under 3 steps a session-minute
            TICK_MS = 250, // ms between looks at all links: shorter than a note's lateness
            NOTE_GAIN = 0.7, // weight of a new note: notes carry noise of several per cent
            REPORT_GAIN = 0.4, // weight of an outcome's report: later and noisier than a note
            REPORT_LATE_MS = 500, // ms by which such a report is late, about: stated nowhere
            PRIOR_USE = 0.6, // part asked of a link while nothing at all has been heard
            PRIOR_WEIGHT = 1, // its weight in mean links: matters only when next to nothing is heard
            LEAST_TRUST = 0.001, // say of a reading under which it is dropped from the average: nothing by then
            FADE_MS = 4000, // ms in which a reading older than two notes loses two thirds of its say
            MOST_USE = 3, // highest part asked that is believed: above it a link is hopeless anyway
            WHOLE_SHARE = 0.98, // share delivered that counts as whole (the wire's own figure)
            SHORT_FRESH_MS = 2200, // ms for which a note of short delivery holds: they come once a second
            BIAS_FALL = 0.01, // fall a second of a rack's correction while nothing short is heard
            BIAS_FAST = 10, // how much faster it falls above BIAS_USUAL: trouble ends, differences stay
            BIAS_USUAL = 1.3, // correction that an uplink may have for good: racks differ by a third
            BIAS_LEAST = 0.5, // least correction of a rack
            BIAS_MOST = 8, // most: troubles divide uplinks by up to eight
            UNTESTED = 0.85, // part asked of an uplink above which whole delivery shows that it carries more
            REACT_MS = 400, // ms for all managers' lowerings to show, beside a note's lateness
            LOST_MS = 8000, // ms for which a lost attempt counts as load: a hung server must not look empty
            SUSPEND_MS = 2500, // ms of the first suspension after a failed set-up; doubles with each,
            SUSPEND_DOUBLINGS = 3, // so often at most: trouble lasts seconds
            ALL_BAD = 0.6, // part of the servers suspended at which suspensions are void: the fault is elsewhere
            COLD_MARGIN = 0.9, // part of a cold server's permitted pace that all managers together use
            BLIND_MS = 4000, // ms after a start without hand-over in which any server may be cold unknown to us
            AIM_PART = 0.45, // first time-outs as a part of the class's aim: two attempts fit in it
            LEAST_TIMEOUT_MS = 250, // ms; shortest time-out of an attempt
            TIMEOUT_DEVIATIONS = 8, // time-out over the usual set-up time, in its mean deviations
            LEAST_LEFT_MS = 100, // ms left to the viewer under which no attempt is worth sending
            RETRY_MS = 400, // ms; shortest retry-after, about a departure at a busy server; spread to twice
            RACK_SHORT = 0.6, // part of a rack's used servers that is short when its uplink is
            DEAD_SHARE = 0.2, // share delivered under which a server plays nothing, unless its link explains it
            LIFE_S = 35, // s that a session lasts, before any has ended here
            MOST_RIGHT = 1.5, // most by which notes correct a link against its weight: a third is usual
            LAG = 0.1, // part served behind the whole at which the worst class weighs fully
            TRIAL_MS = 4000, // ms between all managers' trials at a fully suspected server: trouble lasts seconds
            FORGET_MS = 60_000, // ms after which a server that is gone is forgotten: no list runs so far behind
            LATE_MS = 500, // ms by which a request is heard and an attempt arrives late: a connect takes 250
            ASK_AGAIN_MS = 1500, // ms between calls for the list after a failed one
            TENANT_S = 5; // s over which a tenant's rate is averaged

    private final Settings cfg;
    private final Media media;
    private final Actions out;
    private final SplittableRandom random;
    private final TreeMap<Long, Server> servers = new TreeMap<>();
    private final TreeMap<Integer, Rack> racks = new TreeMap<>();
    private final LinkedHashSet<Server> heardOf = new LinkedHashSet<>();
    private final LinkedHashMap<String, Session> sessions = new LinkedHashMap<>();
    private final Map<String, Integer> seats = new HashMap<>();
    private final ArrayDeque<Double> taken = new ArrayDeque<>();
    private final ArrayDeque<Double> extras = new ArrayDeque<>();
    private final double[][] kb, density;
    private final double[] tenantRate, tenantAt, earned, offered, boost;
    private final double meanWorth, cap, startedAt;
    private double now, average, price, raiseTokens, tickedAt, setupDeviation, setupMs = -1, lifeS = LIFE_S;
    private double heardPart, averagedAt = NEVER, pricedAt = NEVER, meanLink = 1, links, ownKb;
    private long listVersion = -1, changes, held;
    private boolean handedOver;

    /** Starts a controller; {@code seed} feeds its only random source. */
    public SessionController(Settings settings, long seed, double nowMs, Actions actions) {
        if (settings == null || actions == null) throw new IllegalArgumentException("settings and actions are needed");
        cfg = settings;
        media = settings.media();
        out = actions;
        now = nowMs;
        startedAt = tickedAt = nowMs;
        random = new SplittableRandom(seed);
        int rungs = media.rungKb().size();
        if (rungs == 0 || media.rungWorth().size() != rungs || cfg.classes().isEmpty())
            throw new IllegalArgumentException("settings need classes and a ladder with worths");
        kb = new double[cfg.classes().size()][rungs];
        density = new double[cfg.classes().size()][rungs];
        for (int c = 0; c < kb.length; c++) {
            for (int r = 0; r < rungs; r++)
                kb[c][r] = media.rungKb().get(r) * cfg.classes().get(c).scale();
            for (int r = 0; r < rungs; r++) density[c][r] = slope(c, r);
        }
        meanWorth = cfg.classes().stream()
                .mapToDouble(SessionClass::worth)
                .average()
                .orElse(1);
        OptionalDouble streams =
                media.kindStreams().stream().mapToDouble(kind -> kind).average();
        cap = streams.isPresent() ? streams.getAsDouble() * meanWorth : Double.MAX_VALUE;
        earned = new double[kb.length];
        offered = new double[kb.length];
        boost = new double[kb.length];
        Arrays.fill(boost, 1);
        tenantRate = new double[Math.max(1, cfg.tenants().size())];
        tenantAt = new double[tenantRate.length];
        if (cfg.askForList()) out.subscribe();
        out.timer(TICK_MS * (0.5 + random.nextDouble()), "tick");
    }

    /** Worth per kB of rung r's step on the ladder's concave hull, so that it never rises up the ladder. */
    private double slope(int c, int r) {
        SessionClass k = cfg.classes().get(c);
        double least = Double.MAX_VALUE;
        for (int low = -1; low < r; low++) {
            double steepest = 0;
            for (int high = r; high < kb[c].length; high++) {
                double worth = media.rungWorth().get(high)
                        - (low < 0 ? 0 : media.rungWorth().get(low));
                double rate = kb[c][high] - (low < 0 ? 0 : kb[c][low]);
                steepest = Math.max(steepest, worth / rate);
            }
            least = Math.min(least, steepest);
        }
        return least * k.worth();
    }

    /** Takes one event; the actions it leads to have been called when this returns. */
    public void handle(double nowMs, Event event) {
        now = nowMs;
        changes++;
        if (event instanceof Request e) onRequest(e);
        else if (event instanceof Takeover e) onTakeover(e);
        else if (event instanceof Started e) onStarted(e);
        else if (event instanceof AttemptEnded e) onEnded(e);
        else if (event instanceof Note e) onNote(e);
        else if (event instanceof Departed e) onDeparted(e);
        else if (event instanceof ServerList e) onList(e);
        else if (event instanceof ProbeEnded e) onProbe(e);
        else if (event instanceof Suspected e) onSuspected(e);
        else if (event instanceof TimerFired e) onTimer(e);
        else if (!(event instanceof PeerMessage)) throw new IllegalArgumentException("an event is needed");
    }

    // --- Requests and attempts ---

    private void onRequest(Request e) {
        check(e);
        taken.addLast(now);
        Session s = new Session(e);
        countTenant(e);
        sessions.put(e.id(), s);
        place(s);
    }

    private void check(Request e) {
        if (e.sessionClass() >= cfg.classes().size())
            throw new IllegalArgumentException("class " + e.sessionClass() + " is not in the settings");
        if (sessions.containsKey(e.id())) throw new IllegalArgumentException("request " + e.id() + " is known already");
    }

    /** Sends the session to a server, or answers it at once. */
    private void place(Session s) {
        boolean first = s.attempts == 0;
        double left = s.request.giveUpMs() - now;
        // rule 5: sessions of one title and class, set-ups included
        boolean seated = s.k.seats() <= 0 || seats.getOrDefault(s.seatKey(), 0) < s.k.seats();
        boolean allowed = left >= LEAST_LEFT_MS && (first || mayRepeat(s)) && seated;
        Server h = allowed ? choose(s) : null;
        if (h == null) {
            answer(s);
            return;
        }
        if (!first) extras.addLast(now);
        s.server = h;
        s.sentAt = h.lastSent = now;
        s.tried.add(h.id);
        s.attempts++;
        h.out++;
        count(s, +1);
        if (s.rungSent || s.rung != s.k.lowestRung()) out.rung(s.request.id(), s.rung);
        s.rungSent |= s.rung != s.k.lowestRung();
        out.attempt(s.request.id(), h.id, Math.min(left, timeout(s)));
    }

    private double timeout(Session s) {
        double usual = setupMs < 0 ? Double.MAX_VALUE : setupMs + TIMEOUT_DEVIATIONS * setupDeviation;
        return Math.max(LEAST_TIMEOUT_MS, Math.min(AIM_PART * s.k.aimMs(), usual));
    }

    /** Rules 2 and 6: a further attempt only where none can have run, and within sendCap and the budget. */
    private boolean mayRepeat(Session s) {
        if (cfg.limits().attempts() > 0 && s.attempts >= cfg.limits().attempts()) return false;
        boolean expired = s.k.effect() == Effect.TOKEN && now - s.tokenAt >= s.k.tokenMs();
        if (s.mayHaveRun && (s.k.effect() == Effect.SIDE_EFFECT || expired)) return false;
        if (cfg.rules().extraFree() < 0) return true;
        // the rule counts where requests and attempts arrive: both ends of its window may lie off ours
        double window = cfg.rules().extraWindowMs(), from = now - window;
        double off = Math.min(LATE_MS, window / 10);
        while (!extras.isEmpty() && extras.peekFirst() < from - off) extras.removeFirst();
        while (!taken.isEmpty() && taken.peekFirst() <= from + off) taken.removeFirst();
        return extras.size() + 1 <= cfg.rules().extraFree() + cfg.rules().extraRatio() * taken.size();
    }

    /** The final answer, at once: a refusal where that is harmless, else a failure. */
    private void answer(Session s) {
        sessions.remove(s.request.id());
        if (s.doubted != null) judge(s.doubted, Outcome.ERROR);
        boolean harmless = !s.mayHaveRun
                || s.k.effect() == Effect.PURE
                || s.k.effect() == Effect.TOKEN && s.k.group() == Group.ALL;
        double after = RETRY_MS * (1 + random.nextDouble());
        if (harmless) out.refuse(s.request.id(), Math.min(cfg.limits().retryAfterMs(), after));
        else out.fail(s.request.id());
    }

    private void onStarted(Started e) {
        Session s = sessions.get(e.id());
        if (s == null || s.server == null) return;
        s.playing = true;
        s.startedAt = now;
        if (s.doubted != null) judge(s.doubted, Outcome.ERROR);
        s.server.out--;
        s.server.strikes = Math.max(0, s.server.strikes - 1);
        double usual = setupMs < 0 ? e.elapsedMs() / 2 : setupMs, gain = setupMs < 0 ? 1 : 0.1;
        setupDeviation += gain * (Math.abs(e.elapsedMs() - usual) - setupDeviation);
        setupMs = usual + gain * (e.elapsedMs() - usual);
    }

    private void onTakeover(Takeover e) {
        check(e.request());
        handedOver = true;
        Session s = new Session(e.request());
        s.server = server(e.server());
        s.playing = s.rungSent = true;
        s.attempts = 1;
        s.startedAt = now;
        s.rung = s.k.lowestRung();
        sessions.put(e.request().id(), s);
        count(s, +1);
    }

    private void onEnded(AttemptEnded e) {
        Server h = servers.get(e.server());
        Session s = sessions.get(e.id());
        boolean known = s != null && s.server != null && s.server.id == e.server();
        if (known) count(s, -1);
        if (known && !s.playing) h.out--;
        if (known) s.server = null;
        if (h != null) {
            report(h, e.load());
            if (known && !s.playing && e.outcome() == Outcome.ERROR) doubt(s, h);
            else judge(h, e.outcome());
        }
        if (!known) return;
        if (!e.outcome().provesUnrun() && !s.mayHaveRun) {
            s.mayHaveRun = true;
            s.tokenServer = h;
            s.tokenAt = s.sentAt;
        }
        if (s.playing && e.outcome() == Outcome.OK) lifeS += 0.05 * (e.elapsedMs() / 1000 - lifeS);
        if (s.playing || s.departed || e.closed()) sessions.remove(e.id());
        else place(s);
    }

    private void onDeparted(Departed e) {
        Session s = sessions.get(e.id());
        if (s == null) return;
        s.departed = true;
        if (s.server == null) sessions.remove(e.id());
        else if (!s.playing && cfg.limits().cancel()) out.cancel(e.id(), s.attempts - 1);
    }

    // --- Choice: steps 2, 3 and 5 of the design ---

    private Server choose(Session s) {
        reprice();
        List<Server> holders = new ArrayList<>();
        for (Server h : servers.values()) {
            boolean open = h.ready && holds(h, s.request) && !s.tried.contains(h.id);
            if (open && groupAllows(s, h) && paceAllows(h)) holders.add(h);
        }
        List<Server> healthy = new ArrayList<>(holders);
        healthy.removeIf(h -> !healthy(h));
        if (!healthy.isEmpty() || !manyBad()) holders = healthy;
        holders.removeIf(h -> load(h, s) / capacity(h) > cap);
        if (cfg.zoneCost() > 0 && holders.stream().anyMatch(h -> h.zone == cfg.zone()))
            holders.removeIf(h -> h.zone != cfg.zone());
        int want = wanted(s);
        double tied = 0;
        double used = holders.stream().mapToDouble(this::tightness).average().orElse(1);
        double mean = holders.stream()
                .mapToDouble(h -> load(h, s) / capacity(h))
                .average()
                .orElse(1);
        Server best = null;
        double bestShare = 0;
        boolean suspected = holders.stream().anyMatch(h -> !tried(h));
        for (int pass = suspected ? -3 : 0; pass < 3 && best == null; pass++) {
            for (Server h : holders) {
                // first without suspected ones; peers alone never leave a viewer without a place
                if (pass < 0 && !tried(h)) continue;
                // where the wanted rung fits; then any; then any at servers that only doubt left out
                int rung = fitting(h, s, want, (pass + 3) % 3 < 2 ? DOUBT : 0);
                if (rung < ((pass + 3) % 3 == 0 ? want : 0)) continue;
                // C_h as notes correct it: a link or uplink fuller than its count says is smaller
                double seen = used / tightness(h) * load(h, s) / capacity(h) / mean;
                double right = capacity(h) * Math.max(1 / MOST_RIGHT, Math.min(MOST_RIGHT, seen));
                double share = right * s.k.worth() / load(h, s);
                if (share < bestShare * (1 - TIE)) continue;
                if (share > bestShare * (1 + TIE)) tied = 0;
                tied += capacity(h);
                if (random.nextDouble() * tied < capacity(h)) {
                    best = h;
                    s.rung = rung;
                }
                bestShare = Math.max(bestShare, share);
            }
        }
        if (best != null) return best;
        // No rung fits: lower playing sessions of less worth per kB, if one holder's room can be made so.
        holders.removeIf(h -> !h.rack.used());
        holders.sort(Comparator.comparingDouble((Server h) -> -capacity(h) * s.k.worth() / load(h, s)));
        for (Server h : holders) {
            s.rung = s.k.lowestRung();
            if (makeRoom(h, s)) return h;
        }
        return null;
    }

    /**
     * Whether a server that peers suspect may be tried now, milder than what is seen here itself. Against a
     * group that agrees too quickly and leaves or comes back as one: managers take turns at it by the common
     * clock, as at a cold server, so the sum of their trials is one in TRIAL_MS, the more often the weaker
     * the claims; a trial that works outranks them here.
     */
    private boolean tried(Server h) {
        if (h.suspected <= 0) return true;
        double turn = TRIAL_MS * h.suspected, round = turn * Math.max(1, cfg.controllers());
        double phase = (now - turn * ((cfg.self() + h.id) % Math.max(1, cfg.controllers()))) % round;
        return (phase + round) % round < turn && now - h.lastSent > turn && h.out == 0;
    }

    private void onSuspected(Suspected e) {
        Server h = servers.get(e.server());
        if (h != null) h.suspected = Math.max(0, Math.min(1, e.strength()));
    }

    private boolean holds(Server h, Request r) {
        int cells = media.cells();
        return cells <= 0 || r.span() >= cells || Math.floorMod(h.cell - r.homeCell(), cells) < r.span();
    }

    private boolean groupAllows(Session s, Server h) {
        if (!s.mayHaveRun || s.k.effect() != Effect.TOKEN || s.k.group() == Group.ALL) return true;
        return s.k.group() == Group.ZONE ? h.zone == s.tokenServer.zone : h.cell == s.tokenServer.cell;
    }

    /**
     * Rule 4. Managers take turns at a cold server by the common clock: each sends one set-up, in the first
     * half of its own turn, so that in any window the sum of all stays under the budget without agreement.
     */
    private boolean paceAllows(Server h) {
        double warm = cfg.rules().warmAfterMs();
        boolean cold = now - h.coldSince < warm;
        if (!cold && (handedOver || now - startedAt >= BLIND_MS)) return true;
        double streams =
                h.kind < media.kindStreams().size() ? media.kindStreams().get(h.kind) : 1;
        double perMs = COLD_MARGIN * cfg.rules().tipMultiple() * cfg.rules().coldFrom() * streams / warm;
        double turn = 1 / perMs;
        double round = turn * Math.max(1, cfg.controllers());
        if (!cold) return now - h.lastSent > round;
        // shifted by the server, the same for all: a manager out of turn at one is in turn at another
        double phase = (now - turn * ((cfg.self() + h.id) % Math.max(1, cfg.controllers()))) % round;
        return (phase + round) % round < turn / 2 && now - h.lastSent > turn / 2;
    }

    /** Step 2: the weighted count with the newcomer, and with attempts lost of late. */
    private double load(Server h, Session s) {
        while (!h.lost.isEmpty() && now - h.lost.peekFirst() > LOST_MS) h.lost.removeFirst();
        double known = h.peerStreams >= 0 ? h.peerStreams : h.peerKb / meanKb();
        double trust = trust(h.heardAt);
        // Unheard servers are taken for level, newcomer included: with counts in proportion to links all
        // managers would send to the one with the largest link.
        double level = capacity(h) * (averageUse() * meanLink / meanKb() * meanWorth + s.k.worth());
        double peers = trust * known * meanWorth + (1 - trust) * Math.max(0, level - h.ownWeight - s.k.worth());
        return h.ownWeight + peers + h.lost.size() * meanWorth + s.k.worth();
    }

    private double meanKb() {
        return ownKb > 0 ? ownKb / held : media.rungKb().get(media.rungKb().size() / 2);
    }

    /** C_h: the link over the mean link. */
    private double capacity(Server h) {
        return h.link / meanLink;
    }

    /** The rung that the present price leaves the viewer: the top one while room is not scarce. */
    private int wanted(Session s) {
        int rung = s.k.lowestRung();
        while (rung < s.top() && density[s.c][rung + 1] * s.discount() >= price) rung++;
        return rung;
    }

    /**
     * The highest rung that fits up to the mark; -1: none. The mark is lower at an unheard server, the more
     * so the less of the fleet is heard of and the more peers there are: an average says little of one link.
     */
    private int fitting(Server h, Session s, int want, double doubt) {
        double peers = 1 - 1.0 / Math.max(1, cfg.controllers());
        double mark = MARK - doubt * peers * (1 - heardPart) * (1 - trust(h.heardAt));
        int rung = want;
        while (rung >= s.k.lowestRung() && !fits(h, added(h, s, rung), mark)) rung--;
        return rung >= s.k.lowestRung() ? rung : -1;
    }

    private double added(Server h, Session s, int rung) {
        boolean joins = s.k.live() && h.streams.getOrDefault(s.streamKey(rung), 0) > 0;
        return kb[s.c][rung] * (joins ? media.join() : 1);
    }

    /** An uplink counts only where its use is told: guessed from delivery it made choices worse. */
    private double tightness(Server h) {
        return Math.max(0.05, Math.max(use(h), h.rack.toldAt > NEVER ? uplinkUse(h.rack) : 0));
    }

    private boolean fits(Server h, double addedKb, double mark) {
        return use(h) + addedKb / h.link <= mark && uplinkUse(h.rack) + h.rack.part(addedKb) <= MARK;
    }

    // --- Estimates of links and uplinks ---

    /** Part of the link asked: own sessions, and what peers ask as last seen. */
    private double use(Server h) {
        return (h.ownKb + peerKb(h)) / h.link;
    }

    /** Peers' demand. Readings fade to the average, or a server read as full would never be tried again. */
    private double peerKb(Server h) {
        double trust = trust(h.heardAt);
        double unheard = trust > 0.99 ? 0 : Math.max(0, averageUse() * h.link - h.ownKb);
        return trust * h.peerKb + (1 - trust) * unheard;
    }

    private double trust(double heardAt) {
        double stale = now - heardAt - 2 * media.noteEveryMs();
        return heardAt <= 0 ? 0 : stale <= 0 ? 1 : Math.exp(-stale / FADE_MS);
    }

    /** Part asked of the links heard of lately, with a little of the prior; refreshed once a batch. */
    private double averageUse() {
        if (averagedAt == now) return average;
        averagedAt = now;
        double asked = 0, heard = 0;
        for (Iterator<Server> known = heardOf.iterator(); known.hasNext(); ) {
            Server h = known.next();
            // what peers suspect is broken, not full: it says nothing of links that are not heard of
            double trust = h.ready && h.suspected <= 0 ? trust(h.heardAt) : 0;
            asked += trust * (h.ownKb + h.peerKb);
            heard += trust * h.link;
            if (trust < LEAST_TRUST) known.remove();
        }
        double uplinks = media.racks() > 0 && media.uplinkKb() > 0 ? racks.size() * media.uplinkKb() : links;
        double prior = PRIOR_USE * Math.min(1, uplinks / Math.max(1, links));
        if (handedOver) prior = Math.min(prior, ownKb * cfg.controllers() / Math.max(1, links));
        double weight = PRIOR_WEIGHT * meanLink;
        heardPart = Math.min(1, heard / Math.max(1, links));
        average = links <= 0 ? prior : (asked + weight * prior) / (heard + weight);
        return average;
    }

    private double uplinkUse(Rack rack) {
        return rack.uplinkKb <= 0 ? 0 : rack.bias * rack.asked(now) / rack.uplinkKb;
    }

    private void report(Server h, Map<String, Double> load) {
        Double use = load.containsKey("x0") ? load.get("x0") : load.get("util");
        if (use != null) heard(h, use, REPORT_LATE_MS, REPORT_GAIN, !load.containsKey("x0") && use >= 0.995);
        if (load.containsKey("inflight")) h.peerStreams = Math.max(0, load.get("inflight") - h.sessions.size());
        if (load.containsKey("x1")) heardUplink(h.rack, load.get("x1"), REPORT_LATE_MS, REPORT_GAIN);
    }

    /** A reading of the link's use, {@code late} ms old; {@code atLeast}: it is capped. */
    private void heard(Server h, double use, double late, double gain, boolean atLeast) {
        // read before the last lowering took effect: says nothing of now
        if (now - late < Math.max(h.relievedAt, h.rack.relievedAt) + REACT_MS) return;
        double peers = Math.max(0, Math.min(MOST_USE, use) * h.link - h.ownAt(now - late));
        if (h.heardAt <= 0) h.peerKb = peers;
        else if (!atLeast || peers > h.peerKb) h.peerKb += gain * (peers - h.peerKb);
        h.toldAt = now;
        hear(h);
    }

    private void hear(Server h) {
        h.heardAt = now;
        heardOf.add(h);
        changes++;
    }

    private void heardUplink(Rack rack, double use, double late, double gain) {
        if (now - late < rack.relievedAt + REACT_MS) return;
        double asked = rack.asked(now - late) / Math.max(1, rack.uplinkKb);
        if (asked > 0.05) {
            double bias = Math.max(BIAS_LEAST, Math.min(BIAS_MOST, use / asked));
            rack.bias += (rack.toldAt > NEVER ? gain : 1) * (bias - rack.bias);
            rack.toldAt = now;
        }
        rack.heardAt = now;
    }

    private void onNote(Note e) {
        Session s = sessions.get(e.id());
        Server h = servers.get(e.server());
        if (h == null) return;
        boolean fresh = s != null && now - s.startedAt < media.noteDelayMs() / 2 && s.attempts > 0;
        switch (e.kind()) {
            case RUNG -> {
                int rung = (int) Math.max(0, Math.min(media.rungKb().size() - 1, e.value()));
                if (s != null && s.server != null && rung != s.rung) shift(s, rung);
            }
            case LINK_USE -> heard(h, e.value(), fresh ? 0 : media.noteDelayMs(), NOTE_GAIN, false);
            case UPLINK_USE -> heardUplink(h.rack, e.value(), fresh ? 0 : media.noteDelayMs(), NOTE_GAIN);
            case DELIVERED_SHARE -> shortDelivery(h, e.value());
        }
        relieve(h);
    }

    /** Short delivery raises the estimate of what is short: the uplink if the rack is, else the link. */
    private void shortDelivery(Server h, double share) {
        h.shortAt = share >= WHOLE_SHARE ? NEVER : now;
        if (share >= WHOLE_SHARE || h.suspected > 0) return;
        if (now - media.noteDelayMs() < Math.max(h.relievedAt, h.rack.relievedAt) + 2 * REACT_MS) return;
        double asked = Math.min(MOST_USE, 1 / Math.max(0.05, share));
        double own = h.ownAt(now - media.noteDelayMs());
        double explained = Math.max((own + peerKb(h)) / h.link, uplinkUse(h.rack));
        // What notes on the link or uplink just showed to be full is exact; this share is smoothed and late.
        boolean linkTold = told(h.toldAt), uplinkTold = told(h.rack.toldAt);
        boolean shown = linkTold && use(h) >= WHOLE_SHARE || uplinkTold && uplinkUse(h.rack) >= WHOLE_SHARE;
        if (shown || explained >= asked) return;
        int near = 0, used = 0;
        for (Server other : h.rack.servers) {
            if (now - other.shortAt < SHORT_FRESH_MS) near++;
            if (!other.sessions.isEmpty()) used++;
        }
        // With a link told to have room it is the uplink, even if this is the rack's one server used here.
        boolean most = near >= RACK_SHORT * used;
        if (share < DEAD_SHARE && explained < asked / 2 && !(most && near >= 2)) {
            strike(h);
        } else if (most && (linkTold || near >= 2) && h.rack.uplinkKb > 0 && !uplinkTold) {
            double bias = asked * h.rack.uplinkKb / Math.max(1, h.rack.asked(now));
            h.rack.bias = Math.min(BIAS_MOST, Math.max(h.rack.bias, bias));
            h.rack.heardAt = now;
        } else {
            atLeast(h, asked);
        }
    }

    private boolean told(double at) {
        return now - at <= 2 * media.noteEveryMs();
    }

    /** Something showed that at least this part of the link is asked. */
    private void atLeast(Server h, double use) {
        h.peerKb = Math.max(peerKb(h), use * h.link - h.ownKb);
        hear(h);
    }

    // --- Rungs of playing sessions ---

    /** The price of a kB: what own sessions' steps must be worth for all own demand to keep its share. */
    private void reprice() {
        if (now - pricedAt < TICK_MS) return;
        pricedAt = now;
        double target = 0;
        for (Rack rack : racks.values()) {
            double links = 0, asked = 0, own = 0;
            for (Server h : rack.servers) own += h.ownKb;
            if (own <= 0) continue;
            for (Server h : rack.servers) {
                if (h.ready && healthy(h)) {
                    links += h.link * MARK;
                    asked += h.ownKb + peerKb(h);
                }
            }
            double room = rack.uplinkKb > 0 ? Math.min(links, MARK * rack.uplinkKb / rack.bias) : links;
            target += asked > 0 ? own * room / asked : room / Math.max(1, cfg.controllers());
        }
        TreeMap<Double, Double> steps = new TreeMap<>(Comparator.reverseOrder());
        double base = 0, prior = 0;
        for (double[] rates : kb) prior += rates[0];
        // by class and tenant, which share a discount: a decision must not cost a sort of all sessions
        Map<Integer, int[]> counts = new TreeMap<>();
        for (Session s : sessions.values()) {
            if (s.server == null) continue;
            base += kb[s.c][s.k.lowestRung()];
            int group = s.request.tenant() * kb.length + s.c;
            int[] n = counts.computeIfAbsent(group, k -> new int[kb[0].length]);
            for (int r = s.k.lowestRung() + 1, top = s.top(); r <= top; r++) n[r]++;
        }
        for (Map.Entry<Integer, int[]> group : counts.entrySet()) {
            int c = group.getKey() % kb.length;
            double discount = tenantWorth(group.getKey() / kb.length) * boost[c];
            for (int r = 1; r < kb[c].length; r++) {
                int n = group.getValue()[r];
                if (n > 0) steps.merge(density[c][r] * discount, n * (kb[c][r] - kb[c][r - 1]), Double::sum);
            }
        }
        double used = base;
        price = 0;
        if (base <= prior) return; // under a session of each class: too few to tell
        for (Map.Entry<Double, Double> step : steps.entrySet()) {
            used += step.getValue();
            price = step.getKey();
            if (used > target) return;
        }
        price = 0;
    }

    private void onTimer(TimerFired e) {
        if (e.name().equals("list")) out.subscribe();
        if (!e.name().equals("tick")) return;
        double s = (now - tickedAt) / 1000;
        tickedAt = now;
        out.timer(TICK_MS * (0.8 + 0.4 * random.nextDouble()), "tick");
        balance(s);
        reprice();
        raiseTokens = Math.min(kb[0].length, raiseTokens + RAISE_PACE * sessions.size() * s);
        for (Rack rack : racks.values()) {
            boolean silent = rack.toldAt == NEVER;
            double quiet = now - rack.heardAt - (silent ? 0 : 2 * media.noteEveryMs());
            double pace = rack.bias > BIAS_USUAL ? BIAS_FAST : 1;
            boolean untested = silent && quiet > CALM_MS && rack.used() && uplinkUse(rack) > UNTESTED;
            if (rack.bias > 1 && quiet > SHORT_FRESH_MS || untested)
                rack.bias = Math.max(untested ? BIAS_LEAST : 1, rack.bias * (1 - BIAS_FALL * s * pace));
        }
        for (Server h : servers.values()) {
            if (!h.sessions.isEmpty()) relieve(h);
        }
        raise();
    }

    /**
     * Lowers own sessions where a link or uplink is really short, by own part of the excess: once on each
     * piece of evidence, never on a guess. Peers hear the same notes and are taken to do their part.
     */
    private void relieve(Server h) {
        double use = use(h);
        if (use > SHED && h.heardAt > h.relievedAt) {
            h.relievedAt = now;
            h.peerKb *= EASE / use;
            lower(new ArrayList<>(h.sessions), h.ownKb * (use - EASE) / use, Double.MAX_VALUE);
        }
        Rack rack = h.rack;
        double up = uplinkUse(rack);
        if (up > SHED && rack.heardAt > rack.relievedAt) {
            rack.relievedAt = now;
            double own = 0;
            for (Server other : rack.servers) {
                own += other.ownKb;
                other.peerKb = peerKb(other) * EASE / up;
            }
            lower(rack.sessions(), own * (up - EASE) / up, Double.MAX_VALUE);
        }
    }

    /** Lowers sessions, least worth per kB first, each with one change; returns the kB freed. */
    private double lower(List<Session> from, double need, double under) {
        double freed = 0;
        changes++;
        Set<Session> changed = new LinkedHashSet<>();
        while (freed < need) {
            Session worst = null;
            for (Session s : from) {
                boolean can = s.playing && s.rung > s.k.lowestRung() && s.step() < under;
                if (can && (worst == null || s.step() < worst.step())) worst = s;
            }
            if (worst == null) break;
            // a part smaller than a step is rounded by chance: else a hundred managers shed a step each
            double step = kb[worst.c][worst.rung] - kb[worst.c][worst.rung - 1];
            if (under == Double.MAX_VALUE && random.nextDouble() * step > need - freed) break;
            double before = worst.server.ownKb;
            shift(worst, worst.rung - 1);
            worst.changedAt = now;
            changed.add(worst);
            freed += before - worst.server.ownKb;
        }
        for (Session s : changed) out.rung(s.request.id(), s.rung);
        return freed;
    }

    /** Lowers playing sessions whose last steps are worth less a kB than the newcomer, if that is enough. */
    private boolean makeRoom(Server h, Session s) {
        double value = density[s.c][s.k.lowestRung()] * s.discount();
        double addedKb = added(h, s, s.k.lowestRung()), up = h.rack.uplinkKb;
        double overLink = (use(h) - MARK) * h.link + addedKb;
        double overUp = up <= 0 ? 0 : (uplinkUse(h.rack) - MARK) * up / h.rack.bias + addedKb;
        List<Session> all = h.rack.sessions();
        if (lowerable(h.sessions, value) < overLink || lowerable(all, value) < overUp) return false;
        double freed = overLink > 0 ? lower(new ArrayList<>(h.sessions), overLink, value) : 0;
        if (overUp > freed) lower(all, overUp - freed, value);
        return true;
    }

    private double lowerable(Iterable<Session> from, double under) {
        double can = 0;
        for (Session s : from) {
            for (int r = s.rung; s.playing && r > s.k.lowestRung(); r--)
                can += density[s.c][r] * s.discount() < under ? kb[s.c][r] - kb[s.c][r - 1] : 0;
        }
        return can;
    }

    /** Raises own sessions to what the price leaves them, in one change, sparingly, where room has lasted. */
    private void raise() {
        List<Session> low = new ArrayList<>();
        for (Session s : sessions.values()) {
            double last = !s.playing
                    ? now
                    : Math.max(
                            Math.max(s.changedAt, s.startedAt),
                            Math.max(s.server.relievedAt, s.server.rack.relievedAt));
            if (now - last > CALM_MS && s.rung < wanted(s)) low.add(s);
        }
        low.sort(Comparator.comparingDouble(s -> -density[s.c][s.rung + 1] * s.discount()));
        for (Session s : low) {
            int rung = wanted(s);
            while (rung > s.rung && !roomFor(s, rung)) rung--;
            if (rung == s.rung) continue;
            if (raiseTokens < rung - s.rung) return;
            raiseTokens -= rung - s.rung;
            shift(s, rung);
            s.changedAt = now;
            out.rung(s.request.id(), rung);
        }
    }

    private boolean roomFor(Session s, int rung) {
        double more = kb[s.c][rung] - kb[s.c][s.rung];
        return use(s.server) + more / s.server.link <= RAISE
                && uplinkUse(s.server.rack) + s.server.rack.part(more) <= RAISE;
    }

    private void shift(Session s, int rung) {
        count(s, -1);
        s.rung = rung;
        count(s, +1);
    }

    // --- Health ---

    private boolean healthy(Server h) {
        return now >= h.suspendedUntil && (h.strikes == 0 || h.out == 0);
    }

    private boolean manyBad() {
        long all = servers.values().stream().filter(h -> h.ready).count();
        return servers.values().stream().filter(h -> h.ready && !healthy(h)).count() >= ALL_BAD * all;
    }

    /** Judges a server by how an attempt ended: symptoms, whatever their cause. */
    private void judge(Server h, Outcome outcome) {
        switch (outcome) {
            case TIMEOUT, ERROR -> {
                h.lost.addLast(now);
                strike(h);
            }
            case CONNECT_FAILED, RESET -> {
                // its start may only be seen so: cold from the last failure on
                h.coldSince = Math.max(h.coldSince, now);
                strike(h);
            }
            case FULL -> {
                if (media.fullFrom() <= 0) h.suspendedUntil = Math.max(h.suspendedUntil, now + SUSPEND_MS);
                else atLeast(h, media.fullFrom());
            }
            default -> {}
        }
    }

    /**
     * An error is the server's fault once the same request plays elsewhere, or is tried no more. Against
     * requests that no server can use, which would have the whole fleet suspended; it also keeps apart one
     * viewer's spoilt title. It hurts where one request meets two failing servers: the next one tells.
     */
    private void doubt(Session s, Server h) {
        s.doubted = s.erred ? null : h;
        s.erred = true;
    }

    private void strike(Server h) {
        if (now > h.struckAt) {
            h.struckAt = now;
            h.strikes = Math.min(h.strikes + 1, 2 + (int) SUSPEND_DOUBLINGS);
        }
        double length = SUSPEND_MS * (1 << (int) Math.min(SUSPEND_DOUBLINGS, h.strikes - 1));
        h.suspendedUntil = Math.max(h.suspendedUntil, now + length);
    }

    private void onProbe(ProbeEnded e) {
        Server h = server(e.server());
        report(h, e.load());
        judge(h, e.outcome());
    }

    // --- The list ---

    private void onList(ServerList e) {
        boolean failed = e.scope() == ListScope.FAILED;
        if (failed && cfg.askForList()) out.timer(ASK_AGAIN_MS * (1 + random.nextDouble()), "list");
        if (failed) return;
        boolean older = e.version() < listVersion;
        listVersion = Math.max(listVersion, e.version());
        Set<Long> named = new HashSet<>();
        for (ServerEntry entry : e.servers()) {
            named.add(entry.server());
            Server h = server(entry.server());
            boolean newStart = entry.startedMs() > h.coldSince;
            if (newStart) h.coldSince = entry.startedMs();
            // an older list may take a server away, never bring one back
            boolean ready = entry.state() == ServerState.READY;
            if (!older || !ready || newStart || !h.listed) h.ready = ready;
            h.listed = true;
            h.kind = entry.kind();
            h.zone = entry.zone();
            h.cell = entry.cell();
            h.link = Math.max(1, media.linkKbPerWeight() * (entry.weight() > 0 ? entry.weight() : 1));
            rackOf(h, media.racks() > 0 ? entry.cell() % media.racks() : 0);
        }
        if (e.scope() != ListScope.CHANGES) for (Server h : servers.values()) h.ready &= named.contains(h.id);
        forgetGone();
        links = servers.values().stream()
                .filter(h -> h.ready)
                .mapToDouble(h -> h.link)
                .sum();
        meanLink = Math.max(
                1,
                links
                        / Math.max(
                                1,
                                servers.values().stream().filter(h -> h.ready).count()));
    }

    /** Against fleets whose servers are replaced all day under new names: they would be held for good. */
    private void forgetGone() {
        for (Iterator<Server> all = servers.values().iterator(); all.hasNext(); ) {
            Server h = all.next();
            if (h.ready || !h.listed || !h.sessions.isEmpty()) h.unusedSince = now;
            if (now - h.unusedSince < FORGET_MS) continue;
            all.remove();
            h.rack.servers.remove(h);
            heardOf.remove(h);
        }
    }

    /** How many servers are held, for the host's counts. */
    public int serversHeld() {
        return servers.size();
    }

    private Server server(long id) {
        Server h = servers.get(id);
        if (h == null) {
            h = new Server(id);
            h.link = Math.max(1, media.linkKbPerWeight());
            h.unusedSince = now;
            servers.put(id, h);
            rackOf(h, 0);
        }
        return h;
    }

    private void rackOf(Server h, int number) {
        Rack rack = racks.computeIfAbsent(number, n -> new Rack(media.racks() > 0 ? media.uplinkKb() : 0));
        if (h.rack != rack) {
            if (h.rack != null) h.rack.servers.remove(h);
            h.rack = rack;
            rack.servers.add(h);
        }
    }

    // --- Counts ---

    /** Adds a session to its server's counts, or takes it off. */
    private void count(Session s, int sign) {
        Server h = s.server;
        double before = h.ownKb;
        String key = s.k.live() ? s.streamKey(s.rung) : null;
        int sharing = key == null ? 0 : h.streams.getOrDefault(key, 0);
        boolean joins = key != null && (sign > 0 ? sharing > 0 : sharing > 1);
        h.ownKb = Math.max(0, h.ownKb + sign * kb[s.c][s.rung] * (joins ? media.join() : 1));
        h.ownWeight = Math.max(0, h.ownWeight + sign * s.k.worth());
        if (key != null) h.streams.merge(key, sign, Integer::sum);
        if (sign > 0) h.sessions.add(s);
        else h.sessions.remove(s);
        if (s.k.seats() > 0) seats.merge(s.seatKey(), sign, Integer::sum);
        h.remember(now, h.ownKb - before);
        ownKb += h.ownKb - before;
        held += sign;
        changes++;
    }

    /** Counts a new viewer against its tenant's share; returns and repeats belong to their first try. */
    private void countTenant(Request e) {
        if (e.tenant() >= tenantRate.length || e.retry() || e.returning() || e.moved()) return;
        double kept = Math.exp(-(now - tenantAt[e.tenant()]) / 1000 / TENANT_S);
        tenantRate[e.tenant()] = tenantRate[e.tenant()] * kept + 1 / TENANT_S;
        tenantAt[e.tenant()] = now;
    }

    /** A tenant's mean worth as a part of the class's: which sessions lie beyond its share is not told. */
    private double tenantWorth(int tenant) {
        if (tenant >= cfg.tenants().size()) return 1;
        double quota = cfg.tenants().get(tenant).quotaPerSecond() / Math.max(1, cfg.controllers());
        double rate = tenantRate[tenant] * Math.exp(-(now - tenantAt[tenant]) / 1000 / TENANT_S);
        double inside = quota <= 0 || rate <= quota ? 1 : quota / rate;
        return inside + cfg.overShareWorth() * (1 - inside);
    }

    /** The result counts the worst class once more: steps of a class served less weigh more, as is stated. */
    private void balance(double s) {
        for (Session session : sessions.values()) {
            if (!session.playing) continue;
            double worth = session.k.worth() * s;
            earned[session.c] += worth * media.rungWorth().get(session.rung);
            offered[session.c] += worth * media.rungWorth().get(session.top());
        }
        double got = Arrays.stream(earned).sum(), asked = Arrays.stream(offered).sum();
        for (int c = 0; c < kb.length; c++) {
            double lag = offered[c] <= 0 ? 0 : got / asked - earned[c] / offered[c];
            double weight = cfg.worstClassWeight() / (1 - cfg.worstClassWeight()) * asked / offered[c];
            boost[c] = lag <= 0 ? 1 : 1 + Math.min(1, weight) * Math.min(1, lag / LAG);
        }
    }

    /** One request, from its arrival to its end. */
    private final class Session {
        final Request request;
        final int c;
        final SessionClass k;
        final Set<Long> tried = new HashSet<>();
        Server server, tokenServer, doubted;
        double tokenAt, sentAt, startedAt, changedAt = NEVER;
        int attempts, rung;
        boolean rungSent, playing, mayHaveRun, departed, erred;

        Session(Request request) {
            this.request = request;
            this.c = request.sessionClass();
            this.k = cfg.classes().get(c);
        }

        /** What a second of it is worth beside the class's worth. */
        double discount() {
            return tenantWorth(request.tenant()) * boost[c];
        }

        int top() {
            return Math.min(request.top(), Math.min(k.highestRung(), kb[c].length - 1));
        }

        /** Worth per kB of the step that it stands on. */
        double step() {
            return density[c][rung] * discount();
        }

        String seatKey() {
            return c + " " + request.title();
        }

        String streamKey(int at) {
            return at + " " + c + " " + request.title();
        }
    }

    /** One server as seen from here. */
    private static final class Server {
        final long id;
        final Set<Session> sessions = new LinkedHashSet<>();
        final Map<String, Integer> streams = new HashMap<>();
        final ArrayDeque<Double> lost = new ArrayDeque<>();
        final ArrayDeque<double[]> changes = new ArrayDeque<>();
        Rack rack;
        boolean listed, ready;
        int kind, zone, cell, out, strikes;
        double link, ownKb, ownWeight, peerKb, peerStreams = -1, heardAt, shortAt = NEVER;
        double struckAt = NEVER, suspendedUntil = NEVER, suspected;
        double coldSince = NEVER, lastSent = NEVER, relievedAt = NEVER, toldAt = NEVER, unusedSince;

        Server(long id) {
            this.id = id;
        }

        void remember(double at, double change) {
            changes.addLast(new double[] {at, change});
            while (changes.peekFirst()[0] < at - 6000) changes.removeFirst();
        }

        /** Own demand at an earlier time: readings are late. */
        double ownAt(double at) {
            double own = ownKb;
            for (double[] change : changes) own -= change[0] > at ? change[1] : 0;
            return Math.max(0, own);
        }
    }

    /** One rack: its uplink, and how far its use stands from what the links' estimates say. */
    private final class Rack {
        final List<Server> servers = new ArrayList<>();
        final double uplinkKb;
        double bias = 1;
        double heardAt, toldAt = NEVER, relievedAt = NEVER, sum;
        long sumOf = -1;

        Rack(double uplinkKb) {
            this.uplinkKb = uplinkKb;
        }

        /** All demand on the uplink; kept until something changes, since each request asks for each rack. */
        double asked(double at) {
            if (at == now && sumOf == changes) return sum;
            double asked = 0;
            for (Server h : servers) asked += h.ready || h.ownKb > 0 ? h.ownAt(at) + peerKb(h) : 0;
            if (at != now) return asked;
            sumOf = changes;
            return sum = asked;
        }

        boolean used() {
            return servers.stream().anyMatch(h -> !h.sessions.isEmpty());
        }

        List<Session> sessions() {
            return servers.stream().flatMap(h -> h.sessions.stream()).toList();
        }

        double part(double kbs) {
            return uplinkKb <= 0 ? 0 : bias * kbs / uplinkKb;
        }
    }
}
