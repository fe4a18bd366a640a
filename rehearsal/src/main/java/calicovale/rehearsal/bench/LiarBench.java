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
 * Owns one simulated fleet: managers with the program's own controller, claims and judge, in virtual time, over boxes that answer
 * after a while or, in their trouble, not at all. Some managers may lie. All figures are simulated.
 */
final class LiarBench {
    /** Managers of a fleet. */
    static final int MANAGERS = 30;

    private static final int BOXES = 12;
    private static final double PER_SECOND = 45;
    private static final double SESSION_MS = 15_000;
    private static final double SET_UP_MS = 25;
    private static final double LINK_KB = 4000;
    private static final double WARM_UP_MS = 30_000;
    private static final double FOR_MS = 120_000;
    private static final double SPREAD_MS = 400;
    private static final long BOX = 3;
    /** Only managers that lie in no run are looked at, the same in all. */
    static final int MOST_LIARS = 10;

    /** What became of the box under suspicion. */
    record Result(long placedThere, long placed, long refused, long firstsFailed, double mostInSecond) {}

    private record Due(double atMs, long order, Runnable body) {}

    private static final StatementProofs TRUSTING = new StatementProofs() {
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
    /** What gossip draws is its own, so that runs differ by what was decided and by nothing else. */
    private final SplittableRandom news;

    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final List<Manager> managers = new ArrayList<>();
    private final double[] usedKb = new double[BOXES];
    private final Map<Integer, Integer> perSecond = new HashMap<>();
    private double now = 1_000_000;
    private final double begin = now;
    private long order;
    private long placedThere;
    private long placed;
    private long refused;
    private long firstsFailed;

    /** A fleet in which the first {@code liars} managers claim trouble at a box all the time, and which fails from and until. */
    LiarBench(int liars, boolean gossip, double failsFromMs, double failsUntilMs, long seed) {
        this.liars = liars;
        this.gossip = gossip;
        this.failsFromMs = begin + WARM_UP_MS + failsFromMs;
        this.failsUntilMs = begin + WARM_UP_MS + failsUntilMs;
        random = new SplittableRandom(seed);
        news = random.split();
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

    private void at(double atMs, Runnable body) {
        queue.add(new Due(Math.max(now, atMs), order++, body));
    }

    private boolean fails(long box) {
        return box == BOX && now >= failsFromMs && now < failsUntilMs;
    }

    private boolean counts() {
        return now >= begin + WARM_UP_MS;
    }

    /** One manager of the fleet. */
    private final class Manager implements Actions {
        final int number;
        final SessionController controller;
        final StatementStore book;
        final ClaimEvaluator judge;
        final BoxOutcomes outcomes;
        final Map<String, Integer> attempts = new HashMap<>();
        final Map<String, Integer> rungs = new HashMap<>();
        final Set<String> playing = new HashSet<>();
        final Map<Long, Double> told = new TreeMap<>();

        Manager(int number) throws InvalidDocumentException {
            this.number = number;
            book = new StatementStore(ClaimSettings.LAN, "m" + number, TRUSTING);
            judge = new ClaimEvaluator(ClaimSettings.LAN, "m" + number, BOXES);
            outcomes = new BoxOutcomes(ClaimSettings.LAN, BOXES);
            controller = new SessionController(settings(number).controller(), number, now, this);
        }

        void raise(Event e) {
            controller.handle(now, e);
        }

        private void saw(long box, Claim.Kind kind) {
            outcomes.recordOutcome(now, box, kind);
            judge.recordOutcome(now, box, kind == null, book.statements());
        }

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            boolean failing = fails(server);
            if (counts() && attempt == 0) {
                placed++;
                if (number >= MOST_LIARS && server == BOX) {
                    placedThere++;
                    perSecond.merge((int) ((now - begin) / 1000), 1, Integer::sum);
                }
                firstsFailed += failing ? 1 : 0;
            }
            double began = now;
            if (failing) {
                at(now + timeoutMs, () -> {
                    saw(server, Claim.Kind.TIMEOUT);
                    raise(new AttemptEnded(id, attempt, server, Outcome.TIMEOUT, now - began, false, Map.of()));
                });
                return;
            }
            at(now + SET_UP_MS * (0.5 + random.nextDouble()), () -> {
                double kb = List.of(12.0, 20.0, 30.0, 45.0).get(rungs.getOrDefault(id, 0));
                usedKb[(int) server] += kb;
                playing.add(id);
                saw(server, null);
                raise(new Started(id, attempt, server, now - began));
                double ends = now + SESSION_MS * (0.5 + random.nextDouble());
                note(id, attempt, server, ends);
                at(ends, () -> {
                    usedKb[(int) server] -= kb;
                    playing.remove(id);
                    raise(new AttemptEnded(id, attempt, server, Outcome.OK, now - began, true, Map.of()));
                });
            });
        }

        private void note(String id, int attempt, long server, double ends) {
            double use = usedKb[(int) server] / LINK_KB;
            at(now + 700, () -> {
                if (playing.contains(id)) {
                    raise(new Note(id, attempt, server, NoteKind.LINK_USE, use));
                }
            });
            if (now + 3000 < ends) {
                at(now + 3000, () -> note(id, attempt, server, ends));
            }
        }

        /** What a member does at each turn of its claims. */
        void turn() {
            boolean lies = number < liars;
            book.updateOwn(
                    now,
                    now,
                    lies
                            ? List.of(new Claim(BOX, Claim.Kind.FAILED, 1, 0, ClaimSettings.LAN.claimValidityMs()))
                            : outcomes.claims(now));
            book.expire(now);
            for (Statement s : book.take(1)) {
                if (s.reporter().equals("m" + number)) {
                    managers.forEach(m -> at(now + SPREAD_MS * news.nextDouble(), () -> m.book.take(now, now, s)));
                }
            }
            Map<Long, Double> evidence = judge.evidence(now, MANAGERS, book.statements());
            for (long box = 0; box < BOXES; box++) {
                double strength = evidence.getOrDefault(box, 0.0);
                if (Math.abs(strength - told.getOrDefault(box, 0.0)) >= 0.05
                        || strength == 0 && told.containsKey(box)) {
                    if (strength == 0) {
                        told.remove(box);
                    } else {
                        told.put(box, strength);
                    }
                    raise(new Suspected(box, strength));
                }
            }
            at(now + ClaimSettings.LAN.evaluationIntervalMs(), this::turn);
        }

        @Override
        public void cancel(String id, int attempt) {
            // no viewer of these leaves before the answer
        }

        @Override
        public void rung(String id, int rung) {
            rungs.put(id, rung);
        }

        @Override
        public void move(String id) {
            // nobody is moved: links are never short here
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            refused += counts() ? 1 : 0;
        }

        @Override
        public void fail(String id) {
            refused += counts() ? 1 : 0;
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
            // the list is told at the start
        }

        @Override
        public void timer(double delayMs, String name) {
            at(now + delayMs, () -> raise(new TimerFired(name)));
        }

        @Override
        public void log(String text) {
            // of no use here
        }
    }

    private void arrival() {
        Manager m = managers.get(random.nextInt(MANAGERS));
        m.raise(new Request("q" + order++, 0, 0, "v", "t", now + 4000, 0, 0, BOXES, 3, false, false, false));
        at(now - Math.log(1 - random.nextDouble()) * 1000 / PER_SECOND, this::arrival);
    }

    /** Runs the fleet to its end. */
    Result run() throws InvalidDocumentException {
        List<ServerEntry> list = new ArrayList<>();
        for (int box = 0; box < BOXES; box++) {
            list.add(new ServerEntry(box, ServerState.READY, 0, 0, box, 0, 1));
        }
        for (int i = 0; i < MANAGERS; i++) {
            Manager m = new Manager(i);
            managers.add(m);
            m.raise(new ServerList(ListScope.COMPLETE, 1, list));
            if (gossip) {
                at(now + ClaimSettings.LAN.evaluationIntervalMs() * news.nextDouble(), m::turn);
            }
        }
        at(now, this::arrival);
        double until = begin + WARM_UP_MS + FOR_MS;
        while (!queue.isEmpty() && queue.peek().atMs() <= until) {
            Due due = queue.poll();
            now = due.atMs();
            due.body().run();
        }
        return new Result(
                placedThere,
                placed,
                refused,
                firstsFailed,
                perSecond.values().stream().mapToInt(n -> n).max().orElse(0));
    }
}
