package calicovale.rehearsal.bench;

import calicovale.gossip.claims.ClaimSettings;
import calicovale.gossip.member.MemberSettings;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.sim.GroupSimulator;
import calicovale.gossip.sim.GroupSimulator.ViewChange;
import calicovale.protocols.json.InvalidDocumentException;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Benchmarks of groups in virtual time. They measure traffic, detection, false detection and false claims; all figures
 * are simulated.
 */
final class GossipBenchmark {
    private static final int[] SIZES = {8, 32, 128, 256};
    private static final int SEEDS = 5;
    /** Duration of the traffic measurement in a group without changes, in ms. */
    private static final double IDLE_MEASUREMENT_MS = 120_000;
    /** Simulated time with each seed, in ms; one hour over all seeds. */
    private static final double RUN_PER_SEED_MS = 3_600_000.0 / SEEDS;

    /** Number of members that are stalled, of 30. */
    private static final int SLOW_MEMBERS = 3;

    /** Receiver of the figures. */
    interface FigureSink {
        void report(String figure, double value);
    }

    private final FigureSink figures;

    GossipBenchmark(FigureSink figures) {
        this.figures = figures;
    }

    /** Returns a group whose members all know each other. */
    private static GroupSimulator convergedGroup(MemberSettings settings, int members, long seed) {
        GroupSimulator simulator = new GroupSimulator(settings, seed);
        simulator.start(members, 0, 0);
        simulator.run(10.0 * members + 60_000);
        if (!simulator.isConverged()) {
            throw new IllegalStateException(members + " members have not all discovered each other");
        }
        simulator.drainViewChanges();
        return simulator;
    }

    /**
     * The share of sessions that false claims divert from a healthy box, and the set-ups that true claims save when a
     * box fails.
     */
    void falseClaims() throws InvalidDocumentException {
        int quorum = ClaimSettings.LAN.quorum(FalseClaimSimulation.MANAGERS);
        double withoutLiars = 0;
        for (int liars : new int[] {0, 1, quorum - 1, quorum, FalseClaimSimulation.MAX_LIARS}) {
            double placedAtBox = 0;
            double refused = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                FalseClaimSimulation.Result result = new FalseClaimSimulation(liars, true, 0, 0, 300 + seed).run();
                placedAtBox += result.placedAtBox();
                refused += result.refused();
            }
            withoutLiars = liars == 0 ? placedAtBox : withoutLiars;
            figures.report(
                    "simulated: part of a good box's sessions that " + liars + " liars of 30 take (quorum " + quorum
                            + ")",
                    1 - placedAtBox / withoutLiars);
            figures.report("simulated: requests refused with " + liars + " liars", refused / SEEDS);
        }
        double[] firstSetUpsFailed = new double[2];
        for (int withGossip = 0; withGossip < 2; withGossip++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                firstSetUpsFailed[withGossip] += new FalseClaimSimulation(
                                0, withGossip == 1, 20_000, 60_000, 400 + seed)
                        .run()
                        .firstSetUpsFailed();
            }
        }
        figures.report(
                "simulated: first set-ups that fail at a box down for 40 s, without gossip",
                firstSetUpsFailed[0] / SEEDS);
        figures.report(
                "simulated: first set-ups that fail at a box down for 40 s, with it", firstSetUpsFailed[1] / SEEDS);
        figures.report("simulated: ratio of the two (aim: 0.5)", firstSetUpsFailed[1] / firstSetUpsFailed[0]);
    }

    /** Traffic in an idle group, detection of a killed member, and live members declared dead. */
    void run() {
        for (int size : SIZES) {
            GroupSimulator simulator = convergedGroup(MemberSettings.LAN, size, size);
            simulator.drainMeanTraffic(1);
            simulator.run(IDLE_MEASUREMENT_MS);
            double[] traffic = simulator.drainMeanTraffic(IDLE_MEASUREMENT_MS);
            figures.report("simulated: messages a second for a member of " + size, traffic[0]);
            figures.report("simulated: bytes a second for a member of " + size, traffic[1]);
        }
        for (int size : SIZES) {
            double suspectedMs = 0;
            double firstDeadMs = 0;
            double lastDeadMs = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                GroupSimulator simulator = convergedGroup(MemberSettings.LAN, size, 100 + seed);
                double killedAtMs = simulator.nowMs();
                simulator.kill("m1");
                simulator.run(400_000);
                List<ViewChange> changes = simulator.drainViewChanges();
                suspectedMs += changes.stream()
                                .filter(change -> change.state() == State.SUSPECT
                                        && change.memberId().equals("m1"))
                                .mapToDouble(ViewChange::atMs)
                                .min()
                                .orElseThrow()
                        - killedAtMs;
                firstDeadMs += changes.stream()
                                .filter(change -> change.state() == State.DEAD)
                                .mapToDouble(ViewChange::atMs)
                                .min()
                                .orElseThrow()
                        - killedAtMs;
                lastDeadMs += changes.stream()
                                .filter(change -> change.state() == State.DEAD)
                                .mapToDouble(ViewChange::atMs)
                                .max()
                                .orElseThrow()
                        - killedAtMs;
            }
            // SWIM paper, section 3: a failure is first detected after e/(e-1) protocol periods on average, for any
            // group size
            figures.report(
                    "simulated: ms to the first suspicion in " + size + " (SWIM: 1582 and the period itself)",
                    suspectedMs / SEEDS);
            figures.report("simulated: ms to the first detection in " + size, firstDeadMs / SEEDS);
            figures.report("simulated: ms to the last detection in " + size, lastDeadMs / SEEDS);
        }
        for (boolean lifeguard : new boolean[] {true, false}) {
            MemberSettings settings = lifeguard ? MemberSettings.LAN : MemberSettings.LAN.withoutLifeguard();
            String variant = (lifeguard ? "with" : "without") + " Lifeguard";
            double deadUnderLoss = 0;
            double deadWithSlowMembers = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                GroupSimulator simulator = convergedGroup(settings, 30, 200 + seed);
                simulator.setNetwork(0.3, 1, 40);
                simulator.run(RUN_PER_SEED_MS);
                deadUnderLoss += countDeclaredDead(simulator, 0);
                GroupSimulator slowGroup = convergedGroup(settings, 30, 200 + seed);
                stallSlowMembers(slowGroup, seed);
                deadWithSlowMembers += countDeclaredDead(slowGroup, SLOW_MEMBERS);
            }
            figures.report("simulated: live members declared dead an hour, 30% loss, " + variant, deadUnderLoss);
            figures.report(
                    "simulated: members that run well declared dead an hour, 10% slow, " + variant,
                    deadWithSlowMembers);
        }
    }

    /** Counts the members from a number on that were declared dead, each at most once a minute. */
    private static long countDeclaredDead(GroupSimulator simulator, int firstMember) {
        return simulator.drainViewChanges().stream()
                .filter(change -> change.state() == State.DEAD
                        && Integer.parseInt(change.memberId().substring(1)) >= firstMember)
                .map(change -> change.memberId() + " " + Math.round(change.atMs() / 60_000))
                .distinct()
                .count();
    }

    /** Runs the group while its first members are stalled again and again, as on a starved processor. */
    private static void stallSlowMembers(GroupSimulator simulator, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] stalledUntilMs = new double[SLOW_MEMBERS];
        double endMs = simulator.nowMs() + RUN_PER_SEED_MS;
        while (simulator.nowMs() < endMs) {
            for (int i = 0; i < SLOW_MEMBERS; i++) {
                if (simulator.nowMs() >= stalledUntilMs[i] && random.nextInt(10) < 8) {
                    double stallMs = 8000 * random.nextDouble();
                    stalledUntilMs[i] = simulator.nowMs() + stallMs;
                    simulator.stall("m" + i, stallMs);
                }
            }
            simulator.run(20);
        }
    }
}
