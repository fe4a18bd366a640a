package calicovale.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.gossip.member.MemberSettings;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.sim.GroupSimulator;
import calicovale.gossip.sim.GroupSimulator.Seen;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Groups in virtual time: each failure that membership is meant for is caused, and all views are compared. */
class GroupTest {
    private static final MemberSettings LAN = MemberSettings.LAN;

    private static GroupSimulator group(MemberSettings settings, int members, long seed) {
        GroupSimulator g = new GroupSimulator(settings, seed);
        g.start(members, 0, 0);
        g.run(10.0 * members);
        until(g, "all know each other", 120_000, g::agreed);
        g.seen();
        return g;
    }

    private static void until(GroupSimulator g, String what, double withinMs, BooleanSupplier state) {
        double end = g.nowMs() + withinMs;
        while (!state.getAsBoolean()) {
            assertTrue(g.nowMs() < end, what + ": not within " + withinMs + " ms");
            g.run(100);
        }
    }

    private static boolean all(GroupSimulator g, int members, int of, State state) {
        for (int i = 0; i < members; i++) {
            if (i != of && g.view("m" + i, "m" + of) != state) {
                return false;
            }
        }
        return true;
    }

    @Test
    void aMemberThatDiesIsDeadForAllWithinTheSuspicionsLongestTime() {
        for (int members : new int[] {3, 8, 30, 128}) {
            GroupSimulator g = group(LAN, members, members);
            g.kill("m1");
            // one round of probes, the longest suspicion, and its spreading
            double bound = LAN.probeIntervalMs() * members
                    + 24 * LAN.probeIntervalMs() * Math.max(1, Math.log10(members))
                    + 5000;
            until(g, members + " members see it", bound, () -> all(g, members, 1, State.DEAD));
            assertTrue(g.agreed());
            assertTrue(
                    g.seen().stream().filter(s -> s.now() == State.DEAD).allMatch(s -> s.of().equals("m1")),
                    "nobody else");
        }
    }

    @Test
    void whoLeavesHasLeftAndIsNotSuspected() {
        GroupSimulator g = group(LAN, 12, 2);
        g.leave("m4");
        until(g, "all have heard", 10_000, () -> all(g, 12, 4, State.LEFT));
        assertTrue(g.seen().stream().noneMatch(s -> s.now() == State.SUSPECT || s.now() == State.DEAD));
    }

    @Test
    void aMemberThatOneOtherCantHearIsNotDead() {
        GroupSimulator g = group(LAN, 8, 3);
        g.cut((from, to) -> from.equals("m2") && to.equals("m5"));
        g.run(120_000);
        // others ask it in its place: it is not even suspected, and has nothing to refute
        assertEquals(List.of(), g.seen());
        assertTrue(g.agreed());
    }

    @Test
    void twoHalvesThatWereCutApartFindEachOtherAgain() {
        GroupSimulator g = group(LAN, 10, 4);
        g.cut((from, to) -> half(from) != half(to));
        until(
                g,
                "each half takes the other for dead",
                200_000,
                () -> all(g, 5, 7, State.DEAD) && g.view("m7", "m0") == State.DEAD);
        g.run(60_000);
        g.cut((from, to) -> false);
        until(g, "they are one again", 200_000, g::agreed);
    }

    private static boolean half(String id) {
        return Integer.parseInt(id.substring(1)) < 5;
    }

    @Test
    void aMemberThatStartsAnewComesBackAboveItsEarlierLife() {
        GroupSimulator g = group(LAN, 6, 5);
        g.kill("m3");
        until(g, "it is dead", 120_000, () -> all(g, 6, 3, State.DEAD));
        g.restart("m3", 1);
        until(g, "it is back", 60_000, g::agreed);
        assertTrue(g.incarnation("m3") > 1);
        // at once, before anybody noticed, and with a clock that went back: its new life must not count for its old one
        g.kill("m3");
        g.restart("m3", 1);
        until(g, "it has learnt of its earlier life", 60_000, () -> g.agreed() && g.incarnation("m3") > 2);
    }

    @Test
    void allKilledAndStartedAtOnceAreAGroupAgain() {
        GroupSimulator g = group(LAN, 9, 6);
        for (int i = 0; i < 9; i++) {
            g.kill("m" + i);
        }
        g.run(5000);
        for (int i = 0; i < 9; i++) {
            g.restart("m" + i, 1);
        }
        until(g, "they agree", 60_000, g::agreed);
    }

    @Test
    void aMemberThatStoodStillRefutesWhenItWakes() {
        GroupSimulator g = group(LAN, 8, 7);
        g.stall("m6", 5000);
        g.run(4900);
        assertTrue(all(g, 8, 6, State.SUSPECT) || g.view("m0", "m6") != State.DEAD, "it is not dead so soon");
        until(g, "it is taken for alive by all", 60_000, g::agreed);
        assertTrue(g.seen().stream().noneMatch(s -> s.now() == State.DEAD));
        assertTrue(g.incarnation("m6") > 1, "it had to refute");
        g.stall("m6", 120_000);
        g.run(119_000);
        assertEquals(State.DEAD, g.view("m0", "m6"));
        until(g, "it is back", 120_000, g::agreed);
    }

    /** Times that a live member was declared dead by some member, over minutes of 30 members. */
    private static long falseDetections(MemberSettings settings, long seed, double loss, double stallMs) {
        GroupSimulator g = group(settings, 30, seed);
        g.network(loss, 1, 40);
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        double[] until = new double[3];
        for (int step = 0; step < 15_000; step++) {
            for (int i = 0; i < 3 && stallMs > 0; i++) {
                // a tenth of the members is starved of its processor: it runs for moments only
                if (g.nowMs() >= until[i] && random.nextInt(10) < 8) {
                    double length = stallMs * random.nextDouble();
                    until[i] = g.nowMs() + length;
                    g.stall("m" + i, length);
                }
            }
            g.run(20);
        }
        g.network(0, 0.2, 2);
        until(g, "all agree again", 120_000, g::agreed);
        // of those that did not stand still themselves
        return g.seen().stream()
                .filter(s -> s.now() == State.DEAD && (stallMs == 0 || Integer.parseInt(s.of().substring(1)) >= 3))
                .count();
    }

    @Test
    void lifeguardsPartsLowerFalseDetectionsUnderLossAndStallsAndAGroupIsWholeAfterwards() {
        for (double[] trouble : new double[][] {{0.3, 0}, {0, 8000}}) {
            long with = 0;
            long without = 0;
            for (long seed = 1; seed <= 2; seed++) {
                with += falseDetections(LAN, seed, trouble[0], trouble[1]);
                without += falseDetections(LAN.withoutLifeguard(), seed, trouble[0], trouble[1]);
            }
            assertTrue(
                    2 * with < without,
                    "loss " + trouble[0] + ", stalls " + trouble[1] + ": " + with + " with, " + without + " without");
        }
    }

    private static double[] traffic(int members) {
        GroupSimulator g = group(LAN, members, members);
        g.run(60_000);
        g.traffic(1);
        g.run(120_000);
        return g.traffic(120_000);
    }

    @Test
    void aQuietGroupsMessagesAndBytesStayFlatAsMembersAreAdded() {
        double[] few = traffic(8);
        double[] many = traffic(128);
        for (int i = 0; i < 2; i++) {
            assertNotEquals(0, few[i]);
            assertEquals(1, many[i] / few[i], 0.1, few[i] + " a second for a member of 8, " + many[i] + " of 128");
        }
    }

    @Test
    void whatALossKeptFromAMemberAnExchangeBrings() {
        GroupSimulator g = group(LAN, 6, 12);
        // m5 hears of nobody but m4 while another comes back at a new life
        g.cut((from, to) -> to.equals("m5") && !from.equals("m4"));
        g.kill("m2");
        g.restart("m2", 900);
        g.run(3000);
        g.cut((from, to) -> false);
        until(g, "all know the new life", 120_000, g::agreed);
        assertEquals(State.ALIVE, g.view("m5", "m2"));
    }

    /** Whether one member's false suspicion of another, told to a third, makes that one suspect it. */
    private static boolean persuades(GroupSimulator g, String by) {
        g.seen();
        g.inject(
                by,
                "m0",
                new Message.Dissemination(
                        List.of(GroupSimulator.updateBy(by, "m1", "", g.incarnation("m1"), State.SUSPECT))));
        g.run(1);
        boolean suspected = g.view("m0", "m1") == State.SUSPECT;
        until(g, "it is refuted", 60_000, () -> g.agreed());
        return suspected;
    }

    @Test
    void whoRaisesFalseAlarmsAloneNeedsASecondVoiceAndIsBelievedAgainLater() {
        GroupSimulator g = group(LAN, 6, 14);
        for (int i = 0; i < LAN.maxFalseSuspicions(); i++) {
            assertTrue(persuades(g, "m5"), "alarm " + i);
        }
        // an old alarm counts a little less than one
        persuades(g, "m5");
        assertFalse(persuades(g, "m5"), "one more");
        // a second voice makes both count
        g.inject(
                "m5",
                "m0",
                new Message.Dissemination(
                        List.of(GroupSimulator.updateBy("m5", "m1", "", g.incarnation("m1"), State.SUSPECT))));
        assertTrue(persuades(g, "m4"));
        g.run(300_000);
        assertTrue(persuades(g, "m5"), "it is forgiven");
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        List<List<Seen>> runs = new java.util.ArrayList<>();
        for (int i = 0; i < 2; i++) {
            GroupSimulator g = new GroupSimulator(LAN, 11);
            g.start(20, 2, 300);
            g.network(0.2, 1, 40);
            g.run(100_000);
            runs.add(g.seen());
        }
        assertFalse(runs.get(0).isEmpty());
        assertEquals(runs.get(0), runs.get(1));
    }
}
