package calicovale.rehearsal.bench;

import calicovale.ControllerApi.Actions;
import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Event;
import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.ControllerApi.Started;
import calicovale.ControllerApi.Suspected;
import calicovale.ControllerApi.TimerFired;
import calicovale.SessionController;
import calicovale.front.settings.FrontSettings;
import calicovale.gossip.claims.BoxOutcomes;
import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.ClaimEvaluator;
import calicovale.gossip.claims.ClaimSettings;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.claims.StatementProofs;
import calicovale.gossip.claims.StatementStore;
import calicovale.protocols.json.InvalidDocumentException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulation of a fleet in virtual time, in which some managers may publish false claims. The managers run the
 * program's own session controller, claims and claim evaluation; set-ups at boxes succeed after a while or, while a
 * box fails, time out. All figures are simulated.
 */
final class FalseClaimSimulation {
    /** Number of managers. */
    static final int MANAGERS = 30;

    private static final int BOXES = 12;
    /** Mean rate of requests to all managers together. */
    private static final double REQUESTS_PER_SECOND = 45;
    /** Mean duration of a session, in ms. */
    private static final double SESSION_MS = 15_000;
    /** Mean duration of a set-up, in ms. */
    private static final double SET_UP_MS = 25;
    /** Link capacity of a box, in kB/s. */
    private static final double LINK_KB = 4000;
    /** Time before events are counted, in ms. */
    private static final double WARM_UP_MS = 30_000;
    /** Time for which events are counted, in ms. */
    private static final double MEASURED_MS = 120_000;
    /** Longest time until a statement reaches another manager, in ms. */
    private static final double MAX_GOSSIP_DELAY_MS = 400;
    /** The box that is claimed to fail, and that may fail. */
    private static final long OBSERVED_BOX = 3;
    /**
     * Maximum number of managers that lie. The placements of so many managers, the first ones, are left out of
     * {@link Result#placedAtBox}, so that runs with any number of liars count the same honest managers.
     */
    static final int MAX_LIARS = 10;

    /**
     * Counts of one run, after its warm-up.
     *
     * @param placedAtBox first attempts that honest managers sent to the observed box
     * @param placed first attempts of all managers at all boxes
     * @param refused requests that were refused or failed
     * @param firstSetUpsFailed first attempts sent to a box that failed at that time
     * @param maxPlacedPerSecond largest number of {@code placedAtBox} in one second
     */
    record Result(long placedAtBox, long placed, long refused, long firstSetUpsFailed, double maxPlacedPerSecond) {}

    /** An action at a time; events of the same time run in the order in which they were scheduled. */
    private record ScheduledEvent(double atMs, long order, Runnable action) {}

    /** Proofs that are empty and always accepted, because the simulated statements are not forged. */
    private static final StatementProofs UNSIGNED = new StatementProofs() {
        @Override
        public byte[] prove(Statement statement) {
            return new byte[0];
        }

        @Override
        public boolean verify(Statement statement) {
            return true;
        }
    };

    private final int liars;
    private final boolean gossip;
    private final double failsFromMs;
    private final double failsUntilMs;
    private final SplittableRandom random;
    /** Separate random numbers for gossip, so that runs with and without gossip differ only by the decisions taken. */
    private final SplittableRandom gossipRandom;

    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final List<SimulatedManager> managers = new ArrayList<>();
    private final double[] usedKb = new double[BOXES];
    private final Map<Integer, Integer> placedBySecond = new HashMap<>();
    private double nowMs = 1_000_000;
    private final double startMs = nowMs;
    private long nextOrder;
    private long placedAtBox;
    private long placed;
    private long refused;
    private long firstSetUpsFailed;

    /**
     * Creates a fleet.
     *
     * @param liars number of managers, the first ones, that always claim failures of the observed box
     * @param gossip whether managers exchange and evaluate claims
     * @param failsFromMs time from which the observed box fails, in ms after the warm-up
     * @param failsUntilMs time until which it fails, in ms after the warm-up
     */
    FalseClaimSimulation(int liars, boolean gossip, double failsFromMs, double failsUntilMs, long seed) {
        this.liars = liars;
        this.gossip = gossip;
        this.failsFromMs = startMs + WARM_UP_MS + failsFromMs;
        this.failsUntilMs = startMs + WARM_UP_MS + failsUntilMs;
        random = new SplittableRandom(seed);
        gossipRandom = random.split();
    }

    private static FrontSettings settings(int number) throws InvalidDocumentException {
        return FrontSettings.parse("bench", """
                {"manager": {"number": %d, "of": %d}, "listen": {"host": "127.0.0.1", "port": 0},
                 "directory": {"host": "127.0.0.1", "port": 1},
                 "classes": [{"name": "talk", "worth": 1, "aimMs": 800, "deadlineMs": 4000, "lowestRung": 0, "highestRung": 3}],
                 "limits": {"attempts": 4, "retryAfterMs": 2000},
                 "rules": {"coldFrom": 0.5, "warmAfterMs": 1000, "tipMultiple": 4, "tipMs": 1000, "drainGraceMs": 2000,
                   "extraFree": 20, "extraRatio": 0.3, "extraWindowMs": 10000},
                 "media": {"rungKb": [12, 20, 30, 45], "rungWorth": [0.4, 0.6, 0.8, 1], "cells": 12, "racks": 3,
                   "linkKbPerWeight": %f, "uplinkKb": 0, "kindStreams": [200], "fullFrom": 1, "missingCost": 7, "changeCostS": 0.5,
                   "noteDelayMs": 700, "noteEveryMs": 3000}}
                """.formatted(number, MANAGERS, LINK_KB));
    }

    private void schedule(double atMs, Runnable action) {
        events.add(new ScheduledEvent(Math.max(nowMs, atMs), nextOrder++, action));
    }

    private boolean isFailing(long box) {
        return box == OBSERVED_BOX && nowMs >= failsFromMs && nowMs < failsUntilMs;
    }

    private boolean isMeasuring() {
        return nowMs >= startMs + WARM_UP_MS;
    }

    /** One manager of the fleet. */
    private final class SimulatedManager implements Actions {
        final int number;
        final SessionController controller;
        final StatementStore statements;
        final ClaimEvaluator evaluator;
        final BoxOutcomes outcomes;
        final Map<String, Integer> attempts = new HashMap<>();
        final Map<String, Integer> rungs = new HashMap<>();
        final Set<String> playing = new HashSet<>();
        final Map<Long, Double> lastReportedStrengths = new TreeMap<>();

        SimulatedManager(int number) throws InvalidDocumentException {
            this.number = number;
            statements = new StatementStore(ClaimSettings.LAN, "m" + number, UNSIGNED);
            evaluator = new ClaimEvaluator(ClaimSettings.LAN, "m" + number, BOXES);
            outcomes = new BoxOutcomes(ClaimSettings.LAN, BOXES);
            controller = new SessionController(settings(number).controller(), number, nowMs, this);
        }

        void deliver(Event event) {
            controller.handle(nowMs, event);
        }

        /** Records the outcome of a set-up; a null kind stands for success. */
        private void recordOutcome(long box, Claim.Kind kind) {
            outcomes.recordOutcome(nowMs, box, kind);
            evaluator.recordOutcome(nowMs, box, kind == null, statements.statements());
        }

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            boolean failing = isFailing(server);
            if (isMeasuring() && attempt == 0) {
                placed++;
                if (number >= MAX_LIARS && server == OBSERVED_BOX) {
                    placedAtBox++;
                    placedBySecond.merge((int) ((nowMs - startMs) / 1000), 1, Integer::sum);
                }
                firstSetUpsFailed += failing ? 1 : 0;
            }
            double startedMs = nowMs;
            if (failing) {
                schedule(nowMs + timeoutMs, () -> {
                    recordOutcome(server, Claim.Kind.TIMEOUT);
                    deliver(new AttemptEnded(id, attempt, server, Outcome.TIMEOUT, nowMs - startedMs, false, Map.of()));
                });
                return;
            }
            schedule(nowMs + SET_UP_MS * (0.5 + random.nextDouble()), () -> {
                double rungKb = List.of(12.0, 20.0, 30.0, 45.0).get(rungs.getOrDefault(id, 0));
                usedKb[(int) server] += rungKb;
                playing.add(id);
                recordOutcome(server, null);
                deliver(new Started(id, attempt, server, nowMs - startedMs));
                double endsMs = nowMs + SESSION_MS * (0.5 + random.nextDouble());
                scheduleNotes(id, attempt, server, endsMs);
                schedule(endsMs, () -> {
                    usedKb[(int) server] -= rungKb;
                    playing.remove(id);
                    deliver(new AttemptEnded(id, attempt, server, Outcome.OK, nowMs - startedMs, true, Map.of()));
                });
            });
        }

        private void scheduleNotes(String id, int attempt, long server, double endsMs) {
            double linkUse = usedKb[(int) server] / LINK_KB;
            schedule(nowMs + 700, () -> {
                if (playing.contains(id)) {
                    deliver(new Note(id, attempt, server, NoteKind.LINK_USE, linkUse));
                }
            });
            if (nowMs + 3000 < endsMs) {
                schedule(nowMs + 3000, () -> scheduleNotes(id, attempt, server, endsMs));
            }
        }

        /**
         * Publishes this manager's claims, evaluates all claims known to it, and delivers changed evidence to the
         * session controller.
         */
        void evaluateClaims() {
            boolean lying = number < liars;
            statements.updateOwn(
                    nowMs,
                    nowMs,
                    lying
                            ? List.of(new Claim(
                                    OBSERVED_BOX, Claim.Kind.FAILED, 1, 0, ClaimSettings.LAN.claimValidityMs()))
                            : outcomes.claims(nowMs));
            statements.expire(nowMs);
            for (Statement statement : statements.takeForMessage(1)) {
                if (statement.reporter().equals("m" + number)) {
                    managers.forEach(m -> schedule(
                            nowMs + MAX_GOSSIP_DELAY_MS * gossipRandom.nextDouble(),
                            () -> m.statements.accept(nowMs, nowMs, statement)));
                }
            }
            Map<Long, Double> evidence = evaluator.evidence(nowMs, MANAGERS, statements.statements());
            for (long box = 0; box < BOXES; box++) {
                double strength = evidence.getOrDefault(box, 0.0);
                if (Math.abs(strength - lastReportedStrengths.getOrDefault(box, 0.0)) >= 0.05
                        || strength == 0 && lastReportedStrengths.containsKey(box)) {
                    if (strength == 0) {
                        lastReportedStrengths.remove(box);
                    } else {
                        lastReportedStrengths.put(box, strength);
                    }
                    deliver(new Suspected(box, strength));
                }
            }
            schedule(nowMs + ClaimSettings.LAN.evaluationIntervalMs(), this::evaluateClaims);
        }

        @Override
        public void cancel(String id, int attempt) {
            // nothing to do: no simulated viewer leaves before the response
        }

        @Override
        public void rung(String id, int rung) {
            rungs.put(id, rung);
        }

        @Override
        public void move(String id) {
            // nothing to do: sessions need not move, because links are never overloaded here
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            refused += isMeasuring() ? 1 : 0;
        }

        @Override
        public void fail(String id) {
            refused += isMeasuring() ? 1 : 0;
        }

        @Override
        public void probe(long server) {
            throw new IllegalStateException("not permitted");
        }

        @Override
        public void tellPeers(byte[] body) {
            throw new IllegalStateException("not permitted");
        }

        @Override
        public void subscribe() {
            // nothing to do: the list of boxes is delivered at the start
        }

        @Override
        public void timer(double delayMs, String name) {
            schedule(nowMs + delayMs, () -> deliver(new TimerFired(name)));
        }

        @Override
        public void log(String text) {
            // log lines are not needed
        }
    }

    private void requestArrives() {
        SimulatedManager manager = managers.get(random.nextInt(MANAGERS));
        manager.deliver(
                new Request("q" + nextOrder++, 0, 0, "v", "t", nowMs + 4000, 0, 0, BOXES, 3, false, false, false));
        schedule(nowMs - Math.log(1 - random.nextDouble()) * 1000 / REQUESTS_PER_SECOND, this::requestArrives);
    }

    /** Runs the simulation to its end and returns the counts. */
    Result run() throws InvalidDocumentException {
        List<ServerEntry> boxEntries = new ArrayList<>();
        for (int box = 0; box < BOXES; box++) {
            boxEntries.add(new ServerEntry(box, ServerState.READY, 0, 0, box, 0, 1));
        }
        for (int i = 0; i < MANAGERS; i++) {
            SimulatedManager manager = new SimulatedManager(i);
            managers.add(manager);
            manager.deliver(new ServerList(ListScope.COMPLETE, 1, boxEntries));
            if (gossip) {
                schedule(
                        nowMs + ClaimSettings.LAN.evaluationIntervalMs() * gossipRandom.nextDouble(),
                        manager::evaluateClaims);
            }
        }
        schedule(nowMs, this::requestArrives);
        double endMs = startMs + WARM_UP_MS + MEASURED_MS;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            ScheduledEvent event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return new Result(
                placedAtBox,
                placed,
                refused,
                firstSetUpsFailed,
                placedBySecond.values().stream().mapToInt(n -> n).max().orElse(0));
    }
}
