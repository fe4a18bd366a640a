package calicovale.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.gossip.member.MemberSettings;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.sim.GroupSimulator;
import calicovale.gossip.sim.GroupSimulator.ViewChange;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Groups in virtual time: causes each failure that membership has to handle, and compares all views. */
class GroupTest {
    private static final MemberSettings LAN = MemberSettings.LAN;

    private static GroupSimulator group(MemberSettings settings, int members, long seed) {
        GroupSimulator group = new GroupSimulator(settings, seed);
        group.start(members, 0, 0);
        group.run(10.0 * members);
        runUntil(group, "all know each other", 120_000, group::isConverged);
        group.drainViewChanges();
        return group;
    }

    private static void runUntil(GroupSimulator group, String what, double withinMs, BooleanSupplier state) {
        double endMs = group.nowMs() + withinMs;
        while (!state.getAsBoolean()) {
            assertTrue(group.nowMs() < endMs, what + ": not within " + withinMs + " ms");
            group.run(100);
        }
    }

    private static boolean allSee(GroupSimulator group, int members, int memberId, State state) {
        for (int i = 0; i < members; i++) {
            if (i != memberId && group.view("m" + i, "m" + memberId) != state) {
                return false;
            }
        }
        return true;
    }

    @Test
    void aMemberThatDiesIsDeadForAllWithinTheSuspicionsLongestTime() {
        for (int members : new int[] {3, 8, 30, 128}) {
            GroupSimulator group = group(LAN, members, members);
            group.kill("m1");
            // One round of probes, the longest suspicion, and its dissemination.
            double bound = LAN.probeIntervalMs() * members
                    + 24 * LAN.probeIntervalMs() * Math.max(1, Math.log10(members))
                    + 5000;
            runUntil(group, members + " members see it", bound, () -> allSee(group, members, 1, State.DEAD));
            assertTrue(group.isConverged());
            assertTrue(
                    group.drainViewChanges().stream()
                            .filter(change -> change.state() == State.DEAD)
                            .allMatch(change -> change.memberId().equals("m1")),
                    "no other member is dead");
        }
    }

    @Test
    void aMemberThatLeavesIsNotSuspected() {
        GroupSimulator group = group(LAN, 12, 2);
        group.leave("m4");
        runUntil(group, "all know that it left", 10_000, () -> allSee(group, 12, 4, State.LEFT));
        assertTrue(group.drainViewChanges().stream()
                .noneMatch(change -> change.state() == State.SUSPECT || change.state() == State.DEAD));
    }

    @Test
    void aMemberThatOneOtherCannotReachIsNotDead() {
        GroupSimulator group = group(LAN, 8, 3);
        group.setPartition((from, to) -> from.equals("m2") && to.equals("m5"));
        group.run(120_000);
        // Others probe it indirectly, so it is not even suspected and has nothing to refute.
        assertEquals(List.of(), group.drainViewChanges());
        assertTrue(group.isConverged());
    }

    @Test
    void aGroupMergesAfterAPartition() {
        GroupSimulator group = group(LAN, 10, 4);
        group.setPartition((from, to) -> inFirstHalf(from) != inFirstHalf(to));
        runUntil(
                group,
                "each half takes the other for dead",
                200_000,
                () -> allSee(group, 5, 7, State.DEAD) && group.view("m7", "m0") == State.DEAD);
        group.run(60_000);
        group.setPartition((from, to) -> false);
        runUntil(group, "the halves have merged", 200_000, group::isConverged);
    }

    private static boolean inFirstHalf(String id) {
        return Integer.parseInt(id.substring(1)) < 5;
    }

    @Test
    void aRestartedMemberReturnsAtAHigherIncarnation() {
        GroupSimulator group = group(LAN, 6, 5);
        group.kill("m3");
        runUntil(group, "it is dead", 120_000, () -> allSee(group, 6, 3, State.DEAD));
        group.restart("m3", 1);
        runUntil(group, "it is back", 60_000, group::isConverged);
        assertTrue(group.incarnation("m3") > 1);
        // A restart at once, before the death was detected, and with a clock that went back. The new process must not
        // be taken for the former one.
        group.kill("m3");
        group.restart("m3", 1);
        runUntil(
                group,
                "it has learned of its former incarnation",
                60_000,
                () -> group.isConverged() && group.incarnation("m3") > 2);
    }

    @Test
    void aGroupFormsAgainAfterAllRestartAtOnce() {
        GroupSimulator group = group(LAN, 9, 6);
        for (int i = 0; i < 9; i++) {
            group.kill("m" + i);
        }
        group.run(5000);
        for (int i = 0; i < 9; i++) {
            group.restart("m" + i, 1);
        }
        runUntil(group, "they agree", 60_000, group::isConverged);
    }

    @Test
    void aStalledMemberRefutesWhenItResumes() {
        GroupSimulator group = group(LAN, 8, 7);
        group.stall("m6", 5000);
        group.run(4900);
        assertTrue(allSee(group, 8, 6, State.SUSPECT) || group.view("m0", "m6") != State.DEAD, "it is not dead yet");
        runUntil(group, "all see it alive", 60_000, group::isConverged);
        assertTrue(group.drainViewChanges().stream().noneMatch(change -> change.state() == State.DEAD));
        assertTrue(group.incarnation("m6") > 1, "it had to refute");
        group.stall("m6", 120_000);
        group.run(119_000);
        assertEquals(State.DEAD, group.view("m0", "m6"));
        runUntil(group, "it is back", 120_000, group::isConverged);
    }

    /** Returns how often a live member was declared dead by some member, in a group of 30 over five minutes. */
    private static long falseDetections(MemberSettings settings, long seed, double lossProbability, double maxStallMs) {
        GroupSimulator group = group(settings, 30, seed);
        group.setNetwork(lossProbability, 1, 40);
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        double[] stalledUntilMs = new double[3];
        for (int step = 0; step < 15_000; step++) {
            for (int i = 0; i < 3 && maxStallMs > 0; i++) {
                // A tenth of the members is starved of CPU time and runs only for moments.
                if (group.nowMs() >= stalledUntilMs[i] && random.nextInt(10) < 8) {
                    double lengthMs = maxStallMs * random.nextDouble();
                    stalledUntilMs[i] = group.nowMs() + lengthMs;
                    group.stall("m" + i, lengthMs);
                }
            }
            group.run(20);
        }
        group.setNetwork(0, 0.2, 2);
        runUntil(group, "all agree again", 120_000, group::isConverged);
        // Only detections of members that were not stalled themselves.
        return group.drainViewChanges().stream()
                .filter(change -> change.state() == State.DEAD
                        && (maxStallMs == 0
                                || Integer.parseInt(change.memberId().substring(1)) >= 3))
                .count();
    }

    @Test
    void lifeguardLowersFalseDetectionsUnderLossAndStallsAndTheGroupConverges() {
        for (double[] lossAndMaxStallMs : new double[][] {{0.3, 0}, {0, 8000}}) {
            long with = 0;
            long without = 0;
            for (long seed = 1; seed <= 2; seed++) {
                with += falseDetections(LAN, seed, lossAndMaxStallMs[0], lossAndMaxStallMs[1]);
                without += falseDetections(LAN.withoutLifeguard(), seed, lossAndMaxStallMs[0], lossAndMaxStallMs[1]);
            }
            assertTrue(
                    2 * with < without,
                    "loss " + lossAndMaxStallMs[0] + ", stalls " + lossAndMaxStallMs[1] + ": " + with + " with, "
                            + without + " without");
        }
    }

    private static double[] traffic(int members) {
        GroupSimulator group = group(LAN, members, members);
        group.run(60_000);
        group.drainMeanTraffic(1);
        group.run(120_000);
        return group.drainMeanTraffic(120_000);
    }

    @Test
    void aQuietGroupsTrafficPerMemberDoesNotGrowWithItsSize() {
        double[] few = traffic(8);
        double[] many = traffic(128);
        for (int i = 0; i < 2; i++) {
            assertNotEquals(0, few[i]);
            assertEquals(1, many[i] / few[i], 0.1, few[i] + " a second for a member of 8, " + many[i] + " of 128");
        }
    }

    @Test
    void antiEntropyDeliversUpdatesThatWereLost() {
        GroupSimulator group = group(LAN, 6, 12);
        // m5 receives only from m4 while another member restarts at a new incarnation.
        group.setPartition((from, to) -> to.equals("m5") && !from.equals("m4"));
        group.kill("m2");
        group.restart("m2", 900);
        group.run(3000);
        group.setPartition((from, to) -> false);
        runUntil(group, "all know the new incarnation", 120_000, group::isConverged);
        assertEquals(State.ALIVE, group.view("m5", "m2"));
    }

    /** Returns whether one member's false suspicion of another, sent to a third, makes the third suspect it. */
    private static boolean causesSuspicion(GroupSimulator group, String reporter) {
        group.drainViewChanges();
        group.inject(
                reporter,
                "m0",
                new Message.Dissemination(
                        List.of(GroupSimulator.updateBy(reporter, "m1", "", group.incarnation("m1"), State.SUSPECT))));
        group.run(1);
        boolean suspected = group.view("m0", "m1") == State.SUSPECT;
        runUntil(group, "it is refuted", 60_000, () -> group.isConverged());
        return suspected;
    }

    @Test
    void aReporterOfFalseSuspicionsNeedsASecondReporterForSomeTime() {
        GroupSimulator group = group(LAN, 6, 14);
        for (int i = 0; i < LAN.maxFalseSuspicions(); i++) {
            assertTrue(causesSuspicion(group, "m5"), "false suspicion " + i);
        }
        // An older false suspicion counts slightly less than one.
        causesSuspicion(group, "m5");
        assertFalse(causesSuspicion(group, "m5"), "one more false suspicion");
        // A second reporter makes both count.
        group.inject(
                "m5",
                "m0",
                new Message.Dissemination(
                        List.of(GroupSimulator.updateBy("m5", "m1", "", group.incarnation("m1"), State.SUSPECT))));
        assertTrue(causesSuspicion(group, "m4"));
        group.run(300_000);
        assertTrue(causesSuspicion(group, "m5"), "its false suspicions have decayed");
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        List<List<ViewChange>> runs = new java.util.ArrayList<>();
        for (int i = 0; i < 2; i++) {
            GroupSimulator group = new GroupSimulator(LAN, 11);
            group.start(20, 2, 300);
            group.setNetwork(0.2, 1, 40);
            group.run(100_000);
            runs.add(group.drainViewChanges());
        }
        assertFalse(runs.get(0).isEmpty());
        assertEquals(runs.get(0), runs.get(1));
    }
}
