package calicovale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.*;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of the choice of servers and rungs, of the rules at their limits, and of failures found earlier. */
class SessionControllerTest {

    // --- Choice of servers and rungs ---

    @Test
    void newSessionsGoToTheServerWithTheLargestShare() {
        ControllerHarness harness = new ControllerHarness().start().addServers(4);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            harness.request("s" + i, 0, 3);
            used.add(harness.actions.lastServer.get("s" + i));
        }
        assertEquals(4, used.size(), "each server gets one session before any gets two");
    }

    @Test
    void serverWithALargerLinkGetsMoreSessions() {
        ControllerHarness harness = new ControllerHarness().start();
        harness.addServers(1);
        harness.sendList(ListScope.CHANGES, List.of(new ServerEntry(9, ServerState.READY, 0, 0, 1, 0, 3)));
        for (int i = 0; i < 8; i++) {
            harness.request("s" + i, 0, 0);
        }
        long sessionsAtLargestLink =
                harness.actions.lastServer.values().stream().filter(h -> h == 9).count();
        assertTrue(
                sessionsAtLargestLink >= 5,
                sessionsAtLargestLink + " of 8 sessions at the server with three quarters of the link rate");
    }

    @Test
    void onlyServersThatHoldTheTitleAreUsed() {
        ControllerHarness harness = new ControllerHarness().start().addServers(12);
        for (int i = 0; i < 20; i++) {
            harness.controller.handle(
                    harness.now,
                    new Request("s" + i, 0, 0, "v", "t", harness.now + 4000, 0, 11, 3, 0, false, false, false));
            assertTrue(
                    Set.of(12L, 1L, 2L).contains(harness.actions.lastServer.get("s" + i)),
                    "cells 11, 0 and 1 hold the title");
        }
    }

    @Test
    void requestOverTheCapIsRefusedAtOnceWithARetryAfter() {
        ControllerHarness harness = new ControllerHarness();
        harness.streamsPerServer = 3;
        harness.classes = List.of(ControllerHarness.pureClass(1, 0, 0));
        harness.start().addServers(1);
        harness.controller.handle(harness.now, harness.newRequest("a", 0, 0));
        harness.controller.handle(harness.now, harness.newRequest("b", 0, 0));
        harness.controller.handle(harness.now, harness.newRequest("c", 0, 0));
        assertTrue(harness.actions.wasAttempted("c"), "the third session still fits under the cap");
        harness.controller.handle(harness.now, harness.newRequest("d", 0, 0));
        assertFalse(harness.actions.wasAttempted("d"));
        String lastAction = harness.actions.lines.get(harness.actions.lines.size() - 1);
        double retryAfterMs = Double.parseDouble(lastAction.substring(lastAction.lastIndexOf(' ') + 1));
        assertTrue(lastAction.startsWith("refuse d") && retryAfterMs > 0 && retryAfterMs <= 1000, lastAction);
    }

    @Test
    void rungIsTheHighestThatFitsUnderTheFillLimit() {
        ControllerHarness harness = new ControllerHarness();
        harness.linkKbPerWeight = 1000;
        harness.start().addServers(1);
        harness.request("a", 0, 3);
        assertEquals(2, harness.actions.lastRung.get("a"), "800 of 1000 kB/s fits under the fill limit, 1600 does not");
        harness.request("b", 0, 0);
        assertTrue(harness.actions.wasRefused("b"), "another 200 kB/s does not fit while no session can be lowered");
    }

    @Test
    void rungAboveTheViewersHighestIsNeverSet() {
        ControllerHarness harness = new ControllerHarness().start().addServers(3);
        harness.request("a", 0, 1);
        assertEquals(1, harness.actions.lastRung.get("a"));
    }

    @Test
    void uplinkLimitsRungsToo() {
        ControllerHarness harness = new ControllerHarness();
        harness.racks = 1;
        harness.uplinkKb = 1000;
        harness.start().addServers(2);
        harness.request("a", 0, 3);
        assertTrue(
                harness.actions.lastRung.get("a") < 3, "the links have room for the top rung but the uplink does not");
    }

    @Test
    void sessionsOfLessWorthAreLoweredForANewSession() {
        ControllerHarness harness = new ControllerHarness();
        harness.linkKbPerWeight = 1000;
        harness.start().addServers(1);
        harness.request("a", 1, 3).started("a");
        assertEquals(2, harness.actions.lastRung.get("a"));
        harness.request("b", 0, 0);
        assertTrue(harness.actions.wasAttempted("b"));
        assertTrue(harness.actions.lastRung.get("a") < 2, "the session of less worth is lowered to make room");
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            ControllerHarness harness = new ControllerHarness().start().addServers(6);
            for (int i = 0; i < 30; i++) {
                harness.request("s" + i, i % 2, 3).tick(100);
            }
            runs.add(harness.actions.lines);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    // --- Rule 1: one answer in time ---

    @Test
    void requestWithoutServersIsRefusedAtOnce() {
        ControllerHarness harness = new ControllerHarness().start();
        harness.request("a", 0, 3);
        assertEquals(1, harness.actions.count("refuse", "a"));
    }

    @Test
    void anOutcomeAfterTheViewerLeftGetsNoAnswer() {
        ControllerHarness harness = new ControllerHarness().start().addServers(2);
        harness.request("a", 0, 3);
        harness.controller.handle(harness.now, new Departed("a"));
        assertEquals(1, harness.actions.count("cancel", "a"));
        harness.ended("a", Outcome.CANCELLED);
        assertEquals(0, harness.actions.count("refuse", "a") + harness.actions.count("fail", "a"));
        assertEquals(1, harness.actions.count("attempt", "a"));
    }

    @Test
    void nextAttemptFollowsTheFailureOfTheFirstAndGoesElsewhere() {
        ControllerHarness harness = new ControllerHarness().start().addServers(2);
        harness.request("a", 0, 3);
        long first = harness.actions.lastServer.get("a");
        harness.tick(300);
        assertEquals(1, harness.actions.count("attempt", "a"), "no further attempt while the first is pending");
        harness.ended("a", Outcome.ERROR);
        assertEquals(2, harness.actions.count("attempt", "a"));
        assertNotEquals(first, harness.actions.lastServer.get("a"));
    }

    @Test
    void attemptsStopAtTheirLimit() {
        ControllerHarness harness = new ControllerHarness();
        harness.limits = new Limits(2, 1000, false, false, true);
        harness.start().addServers(6);
        harness.request("a", 0, 3).ended("a", Outcome.ERROR).ended("a", Outcome.ERROR);
        assertEquals(2, harness.actions.count("attempt", "a"));
        assertEquals(1, harness.actions.count("refuse", "a"));
    }

    // --- Rule 2: no effect twice ---

    @Test
    void aSideEffectThatMayHaveRunFailsAndIsNotRepeated() {
        ControllerHarness harness = new ControllerHarness();
        harness.classes = List.of(ControllerHarness.effectClass(Effect.SIDE_EFFECT, Group.ALL));
        harness.start().addServers(3);
        harness.request("a", 0, 3).ended("a", Outcome.TIMEOUT);
        assertEquals(1, harness.actions.count("attempt", "a"));
        assertEquals(1, harness.actions.count("fail", "a"));
        assertEquals(0, harness.actions.count("refuse", "a"));
    }

    @Test
    void aSideEffectThatProvablyNeverRanIsRepeated() {
        ControllerHarness harness = new ControllerHarness();
        harness.classes = List.of(ControllerHarness.effectClass(Effect.SIDE_EFFECT, Group.ALL));
        harness.start().addServers(3);
        harness.request("a", 0, 3).ended("a", Outcome.CONNECT_FAILED);
        assertEquals(2, harness.actions.count("attempt", "a"));
    }

    @Test
    void aTokenIsRepeatedInItsCellAndTimeOnly() {
        ControllerHarness harness = new ControllerHarness();
        harness.classes = List.of(ControllerHarness.effectClass(Effect.TOKEN, Group.CELL));
        harness.start().addServers(3);
        harness.request("a", 0, 3).ended("a", Outcome.TIMEOUT);
        assertEquals(1, harness.actions.count("attempt", "a"), "the cell has no other server");
        assertEquals(1, harness.actions.count("fail", "a"), "the set-up may have run, so the answer is a failure");
        ControllerHarness allServersHarness = new ControllerHarness();
        allServersHarness.classes = List.of(ControllerHarness.effectClass(Effect.TOKEN, Group.ALL));
        allServersHarness.start().addServers(3);
        allServersHarness.request("a", 0, 3);
        allServersHarness.now += 499;
        allServersHarness.ended("a", Outcome.TIMEOUT);
        assertEquals(2, allServersHarness.actions.count("attempt", "a"), "the token holds after 499 of 500 ms");
        allServersHarness.now += 1;
        allServersHarness.ended("a", Outcome.TIMEOUT);
        assertEquals(2, allServersHarness.actions.count("attempt", "a"), "the token has expired after 500 ms");
    }

    // --- Rule 3: drains ---

    @Test
    void nothingGoesToADrainingGoneOrMissingServer() {
        ControllerHarness harness = new ControllerHarness().start().addServers(3);
        harness.sendList(ListScope.CHANGES, List.of(ControllerHarness.listEntry(1, ServerState.DRAINING, 0, 0)));
        harness.sendList(
                ListScope.COMPLETE,
                List.of(
                        ControllerHarness.listEntry(1, ServerState.DRAINING, 0, 0),
                        ControllerHarness.listEntry(2, ServerState.READY, 1, 0)));
        for (int i = 0; i < 10; i++) {
            harness.request("s" + i, 0, 0);
            assertEquals(2, harness.actions.lastServer.get("s" + i));
        }
    }

    @Test
    void olderListMakesNoServerReadyAgain() {
        ControllerHarness harness = new ControllerHarness().start().addServers(2);
        harness.controller.handle(
                harness.now,
                new ServerList(ListScope.CHANGES, 9, List.of(ControllerHarness.listEntry(1, ServerState.GONE, 0, 0))));
        harness.controller.handle(
                harness.now,
                new ServerList(
                        ListScope.COMPLETE,
                        5,
                        List.of(
                                ControllerHarness.listEntry(1, ServerState.READY, 0, 0),
                                ControllerHarness.listEntry(2, ServerState.READY, 1, 0))));
        for (int i = 0; i < 6; i++) {
            harness.request("s" + i, 0, 0);
            assertEquals(2, harness.actions.lastServer.get("s" + i));
        }
    }

    // --- Rule 4: cold servers ---

    @Test
    void managersTogetherStayUnderAColdServersPaceInEveryWindow() {
        for (int controllers : new int[] {3, 250}) {
            List<Double> attemptTimes = new ArrayList<>();
            for (int self = 0; self < controllers; self++) {
                attemptTimes.addAll(attemptTimesAtColdServer(self, controllers));
            }
            // 30 streams over 10 s at half pace, times 2: 3 set-ups per second are permitted.
            assertTrue(attemptTimes.size() > 6, "the cold server is used");
            for (double from : attemptTimes) {
                long within = attemptTimes.stream()
                        .filter(t -> t >= from && t < from + 1000)
                        .count();
                assertTrue(within <= 3, within + " set-ups within a second, number of managers " + controllers);
            }
        }
    }

    /**
     * Thirty managers whose only remaining server has just started must not send it more set-ups than it permits. The
     * news of its start reaches them up to 3 s late. Ten managers restart meanwhile, with the saved list and either
     * with or without sessions handed over; five receive no list changes; two have most of the traffic. Set-ups arrive
     * up to 250 ms after they were decided.
     */
    @Test
    void thirtyManagersOfWhichTenRestartStayUnderAColdServersPace() {
        for (int seed = 0; seed < 5; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Double> arrivals = new ArrayList<>();
            for (int self = 0; self < 30; self++) {
                double listDelayMs = 3000 * random.nextDouble();
                double restartMs = self % 3 == 0 ? 2000 + 5000 * random.nextDouble() : Double.MAX_VALUE;
                boolean cutOff = self >= 25;
                int everyMs = self < 2 ? 10 : 30;
                ControllerHarness harness = startManager(self, self);
                harness.addServers(3);
                boolean listReceived = false;
                boolean restarted = false;
                for (double elapsedMs = 0; elapsedMs < 10_000; elapsedMs += everyMs) {
                    harness.now = ControllerHarness.START_MS + elapsedMs;
                    if (!restarted && elapsedMs >= restartMs) {
                        restarted = true;
                        harness = startManager(self, self + 100);
                        harness.now = ControllerHarness.START_MS + elapsedMs;
                        harness.sendList(ListScope.SAVED, onlyColdServer());
                        if (self % 2 == 0) {
                            harness.controller.handle(harness.now, new Takeover(harness.newRequest("old", 0, 0), 1));
                        }
                    } else if (!listReceived && !cutOff && elapsedMs >= listDelayMs) {
                        listReceived = true;
                        harness.sendList(ListScope.CHANGES, onlyColdServer());
                    }
                    String id = "s" + elapsedMs;
                    harness.request(id, 1, 0);
                    if (harness.actions.wasAttempted(id)) {
                        if (harness.actions.lastServer.get(id) == COLD_SERVER) {
                            arrivals.add(harness.now + 250 * random.nextDouble());
                        }
                        harness.started(id).ended(id, Outcome.OK);
                    }
                }
            }
            // 30 streams over 10 s at half pace, times 2: 3 set-ups are permitted in the rule's 1,000 ms. The limit is
            // that number plus twice its square root plus 2.
            double maxWithin = 3 + 2 * Math.sqrt(3) + 2;
            assertTrue(arrivals.size() > 10, "set-ups at the cold server: " + arrivals.size());
            for (double from : arrivals) {
                long within = arrivals.stream()
                        .filter(t -> t >= from && t < from + 1000)
                        .count();
                assertTrue(within <= maxWithin, within + " set-ups within a second, seed " + seed);
            }
        }
    }

    private static final long COLD_SERVER = 1_234_567;

    private static ControllerHarness startManager(int self, long seed) {
        ControllerHarness harness = new ControllerHarness();
        harness.self = self;
        harness.controllers = 30;
        harness.seed = seed;
        return harness.start();
    }

    private static List<ServerEntry> onlyColdServer() {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(ControllerHarness.listEntry(i + 1, ServerState.GONE, i, 0));
        }
        entries.add(ControllerHarness.listEntry(COLD_SERVER, ServerState.READY, 3, ControllerHarness.START_MS));
        return entries;
    }

    private static List<Double> attemptTimesAtColdServer(int self, int controllers) {
        List<Double> attemptTimes = new ArrayList<>();
        ControllerHarness harness = new ControllerHarness();
        harness.self = self;
        harness.controllers = controllers;
        harness.start();
        harness.sendList(
                ListScope.SAVED,
                List.of(ControllerHarness.listEntry(COLD_SERVER, ServerState.READY, 0, ControllerHarness.START_MS)));
        for (int i = 0; i < 900; i++) {
            harness.now += 10;
            harness.request("s" + i, 1, 0);
            if (harness.actions.wasAttempted("s" + i)) {
                attemptTimes.add(harness.now);
                harness.started("s" + i).ended("s" + i, Outcome.OK);
            }
        }
        return attemptTimes;
    }

    @Test
    void serverCountsAsColdAfterAConnectionReset() {
        ControllerHarness harness = new ControllerHarness();
        harness.start().addServers(1);
        harness.request("a", 0, 0).started("a").ended("a", Outcome.RESET);
        harness.now += 5000;
        long before = harness.actions.count("attempt");
        for (int i = 0; i < 100; i++) {
            harness.now += 10;
            harness.request("s" + i, 1, 0);
        }
        long sent = harness.actions.count("attempt") - before;
        assertTrue(sent <= 3, sent + " attempts in the following second");
    }

    // --- Rule 5: floor and seats ---

    @Test
    void classWithAFloorNeverPlaysBelowIt() {
        ControllerHarness harness = new ControllerHarness();
        harness.linkKbPerWeight = 500;
        harness.classes = List.of(ControllerHarness.pureClass(1, 1, 0), ControllerHarness.pureClass(3, 0, 0));
        harness.start().addServers(1);
        harness.request("a", 0, 3).started("a");
        assertEquals(1, harness.actions.count("attempt", "a"));
        harness.note("a", NoteKind.LINK_USE, 2.5);
        harness.now += 4000;
        harness.note("a", NoteKind.LINK_USE, 2.5).tick(250);
        assertFalse(harness.actions.lines.contains("rung a 0"));
    }

    @Test
    void seatsCountSetUpsAndAFreedSeatIsUsed() {
        ControllerHarness harness = new ControllerHarness();
        harness.classes = List.of(ControllerHarness.pureClass(1, 0, 2));
        harness.start().addServers(3);
        harness.request("a", 0, 0).request("b", 0, 0).request("c", 0, 0);
        assertTrue(harness.actions.wasAttempted("b"));
        assertTrue(harness.actions.wasRefused("c"));
        harness.started("a").ended("a", Outcome.OK);
        harness.request("d", 0, 0);
        assertTrue(harness.actions.wasAttempted("d"));
    }

    // --- Rule 6: budget of further attempts ---

    @Test
    void furtherAttemptsStayInTheirBudget() {
        ControllerHarness harness = new ControllerHarness();
        harness.rules = new Rules(0.5, 10_000, 2, 1000, 250, 1, 0.5, 1000, 0);
        harness.start().addServers(8);
        harness.request("a", 0, 0);
        harness.request("b", 0, 0);
        harness.ended("a", Outcome.ERROR);
        harness.ended("b", Outcome.ERROR);
        assertEquals(2, harness.actions.count("attempt", "b"), "a budget of 1 + 0.5 x 2 allows two further attempts");
        harness.request("c", 1, 0).ended("c", Outcome.ERROR);
        assertEquals(
                1, harness.actions.count("attempt", "c"), "a budget of 1 + 0.5 x 3 allows no third further attempt");
        assertTrue(harness.actions.wasRefused("c"));
    }

    @Test
    void budgetIsCountedConservativelyAtTheEdgeOfItsWindow() {
        ControllerHarness harness = new ControllerHarness();
        harness.rules = new Rules(0.5, 10_000, 2, 1000, 250, 1, 0.5, 10_000, 0);
        harness.start().addServers(8);
        for (int i = 0; i < 4; i++) {
            harness.request("s" + i, 0, 0).started("s" + i);
        }
        harness.now += 9600;
        harness.request("a", 0, 0).ended("a", Outcome.ERROR);
        assertEquals(2, harness.actions.count("attempt", "a"), "one further attempt is always permitted");
        harness.request("b", 0, 0).ended("b", Outcome.ERROR);
        assertEquals(
                2,
                harness.actions.count("attempt", "b"),
                "1 + 0.5 x 2 allows two; the four requests of 9.6 s ago may have left the window");
        harness.now += 10_300;
        harness.request("c", 0, 0).ended("c", Outcome.ERROR);
        assertEquals(
                1,
                harness.actions.count("attempt", "c"),
                "the two further attempts of 10.3 s ago may still be in the window");
        harness.now += 300;
        harness.request("d", 0, 0).ended("d", Outcome.ERROR);
        assertEquals(2, harness.actions.count("attempt", "d"));
    }

    // --- Failures, shortages and missing readings ---

    @Test
    void serverWithTimeoutsGetsNoNewSessionsAtFirst() {
        ControllerHarness harness = new ControllerHarness().start().addServers(3);
        harness.request("a", 0, 0);
        long failing = harness.actions.lastServer.get("a");
        harness.ended("a", Outcome.TIMEOUT);
        for (int i = 0; i < 10; i++) {
            harness.request("s" + i, 0, 0);
            assertNotEquals(failing, harness.actions.lastServer.get("s" + i));
        }
    }

    @Test
    void fullServerIsTriedAgainLater() {
        ControllerHarness harness = new ControllerHarness();
        harness.fullFrom = 1;
        harness.start().addServers(1);
        harness.request("a", 0, 0).ended("a", Outcome.FULL);
        harness.now += 500;
        harness.request("b", 0, 0);
        assertTrue(harness.actions.wasRefused("b"), "the server was full 0.5 s ago");
        harness.now += 30_000;
        harness.request("c", 0, 0);
        assertTrue(harness.actions.wasAttempted("c"), "an old reading must not exclude a server permanently");
    }

    @Test
    void oneShortageLowersSessionsOnce() {
        ControllerHarness harness = new ControllerHarness();
        harness.linkKbPerWeight = 4000;
        harness.start().addServers(1);
        for (int i = 0; i < 4; i++) {
            harness.request("s" + i, 1, 2).started("s" + i);
        }
        harness.now += 3000;
        long before = harness.actions.count("rung");
        harness.note("s0", NoteKind.LINK_USE, 1.2);
        long after = harness.actions.count("rung");
        assertTrue(after > before, "a shortage shown by a note lowers sessions");
        harness.tick(250).tick(250).tick(250);
        assertEquals(after, harness.actions.count("rung"), "nothing more is lowered before a note shows the effect");
    }

    @Test
    void estimateWithoutReadingsLowersNoSession() {
        ControllerHarness harness = new ControllerHarness();
        harness.controllers = 4;
        harness.linkKbPerWeight = 1000;
        harness.start();
        harness.sendList(ListScope.SAVED, List.of(ControllerHarness.listEntry(1, ServerState.READY, 0, 0)));
        harness.controller.handle(harness.now, new Takeover(harness.newRequest("a", 0, 3), 1));
        harness.controller.handle(harness.now, new Note("a", 0, 1, NoteKind.RUNG, 2));
        harness.tick(250).tick(250);
        assertEquals(0, harness.actions.count("rung"));
    }

    @Test
    void restartedManagerWithoutReadingsAcceptsRequests() {
        ControllerHarness harness = new ControllerHarness();
        harness.racks = 2;
        harness.uplinkKb = 36_000;
        harness.controllers = 2;
        harness.start();
        List<ServerEntry> saved = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            saved.add(ControllerHarness.listEntry(i + 1, ServerState.READY, i, 0));
        }
        harness.sendList(ListScope.SAVED, saved);
        harness.request("a", 0, 3);
        assertTrue(harness.actions.wasAttempted("a"));
    }

    @Test
    void suspensionsAreIgnoredWhenAllServersFail() {
        ControllerHarness harness = new ControllerHarness().start().addServers(3);
        for (int i = 0; i < 3; i++) {
            harness.request("s" + i, 0, 0);
        }
        for (int i = 0; i < 3; i++) {
            harness.ended("s" + i, Outcome.ERROR);
        }
        harness.request("x", 0, 0);
        assertTrue(harness.actions.wasAttempted("x"), "suspensions are ignored while all servers look faulty");
    }

    @Test
    void twoFailedServersInARackDoNotLookLikeAShortUplink() {
        ControllerHarness harness = new ControllerHarness();
        harness.racks = 1;
        harness.uplinkKb = 100_000;
        harness.start().addServers(6);
        for (int i = 0; i < 6; i++) {
            harness.request("s" + i, 0, 0).started("s" + i);
        }
        harness.now += 6000;
        harness.note("s0", NoteKind.DELIVERED_SHARE, 0.05).note("s1", NoteKind.DELIVERED_SHARE, 0.05);
        harness.request("x", 0, 3);
        assertEquals(3, harness.actions.lastRung.get("x"), "the rack's other servers are still used at the top rung");
    }

    @Test
    void raiseIsOneChangeAfterSixSecondsWithRoom() {
        ControllerHarness harness = new ControllerHarness();
        harness.start().addServers(1);
        harness.controller.handle(harness.now, new Takeover(harness.newRequest("a", 0, 3), 1));
        harness.controller.handle(harness.now, new Note("a", 0, 1, NoteKind.RUNG, 0));
        for (int i = 0; i < 20; i++) {
            harness.tick(250);
        }
        assertEquals(0, harness.actions.count("rung", "a"), "no raise within 6 s");
        for (int i = 0; i < 600; i++) {
            harness.tick(250);
        }
        assertEquals(1, harness.actions.count("rung", "a"));
        assertEquals(3, harness.actions.lastRung.get("a"));
    }

    @Test
    void linkFullerThanItsLoadSuggestsGetsFewerSessions() {
        ControllerHarness harness = new ControllerHarness().start().addServers(2);
        harness.request("a", 0, 0).request("b", 0, 0).started("a").started("b");
        harness.now += 3000;
        harness.note("a", NoteKind.LINK_USE, 0.6).note("b", NoteKind.LINK_USE, 0.2);
        for (int i = 0; i < 3; i++) {
            harness.request("s" + i, 0, 0);
            assertEquals(harness.actions.lastServer.get("b"), harness.actions.lastServer.get("s" + i));
        }
    }

    // --- Many managers ---

    @Test
    void managersWithoutReadingsDoNotAllChooseTheLargestLink() {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            ControllerHarness harness = new ControllerHarness();
            harness.controllers = 60;
            harness.self = i;
            harness.seed = i;
            harness.start().addServers(10);
            harness.sendList(ListScope.CHANGES, List.of(new ServerEntry(11, ServerState.READY, 0, 0, 1, 0, 1.2)));
            harness.request("s", 0, 3);
            used.add(harness.actions.lastServer.get("s"));
        }
        assertTrue(used.size() >= 9, "60 sessions of 60 managers went to " + used.size() + " of 11 servers");
    }

    @Test
    void hundredManagersTogetherLowerAboutTheExcess() {
        int lowered = 0;
        for (int i = 0; i < 100; i++) {
            ControllerHarness harness = new ControllerHarness();
            harness.controllers = 100;
            harness.self = i;
            harness.seed = i;
            harness.linkKbPerWeight = 100 * 400 / 1.1;
            harness.start().addServers(1);
            harness.request("s", 0, 1).started("s");
            harness.now += 4000;
            harness.note("s", NoteKind.LINK_USE, 1.1);
            lowered += harness.actions.lastRung.get("s") == 0 ? 1 : 0;
        }
        // About 0.2 of 1.1 of the demand is to be freed, and each step frees half a session's rate.
        assertTrue(lowered >= 20 && lowered <= 55, lowered + " of 100 sessions lowered, 36 would free the excess");
    }

    @Test
    void fullLinkShownByNotesIsNotCountedAgainFromTheDeliveredShare() {
        ControllerHarness harness = new ControllerHarness();
        harness.linkKbPerWeight = 10_000;
        harness.start().addServers(1);
        for (int i = 0; i < 5; i++) {
            harness.request("s" + i, 0, 3).started("s" + i);
        }
        harness.now += 4000;
        harness.note("s0", NoteKind.LINK_USE, 1.0);
        List<String> before = List.copyOf(harness.actions.lines);
        harness.now += 1000;
        harness.note("s0", NoteKind.DELIVERED_SHARE, 0.9);
        assertEquals(
                before, harness.actions.lines, "the delivered share shows the same shortage as the note, only later");
    }

    @Test
    void serverWithRoomByReadingsComesBeforeServersWithoutReadings() {
        ControllerHarness harness = new ControllerHarness();
        harness.controllers = 100;
        harness.start().addServers(30);
        harness.request("a", 0, 3).started("a");
        harness.now += 4000;
        harness.note("a", NoteKind.LINK_USE, 0.7);
        for (int i = 0; i < 3; i++) {
            harness.request("s" + i, 1, 0);
            assertEquals(harness.actions.lastServer.get("a"), harness.actions.lastServer.get("s" + i));
        }
    }

    // --- Invalid arguments, failed requests and servers that are gone ---

    @Test
    void invalidArgumentsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new SessionController(null, 1, 0, new RecordingActions()));
        ControllerHarness harness = new ControllerHarness().start().addServers(1);
        assertThrows(
                IllegalArgumentException.class,
                () -> harness.controller.handle(harness.now, harness.newRequest("a", 7, 0)));
        harness.request("a", 0, 0);
        assertThrows(
                IllegalArgumentException.class,
                () -> harness.controller.handle(harness.now, harness.newRequest("a", 0, 0)));
        assertThrows(IllegalArgumentException.class, () -> harness.controller.handle(harness.now, null));
    }

    @Test
    void requestThatFailsEverywhereSuspendsNoServer() {
        ControllerHarness harness = new ControllerHarness().start().addServers(6);
        harness.request("warm", 0, 0);
        harness.request("bad", 0, 0);
        for (int attempt = 0; attempt < 3; attempt++) {
            assertTrue(harness.actions.wasAttempted("bad"), "further attempts are permitted");
            harness.ended("bad", Outcome.ERROR);
        }
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            harness.request("s" + i, 0, 0);
            used.add(harness.actions.lastServer.get("s" + i));
        }
        assertEquals(6, used.size(), "no server is suspended");
    }

    @Test
    void errorSuspendsItsServerOnceTheRequestPlaysElsewhere() {
        ControllerHarness harness = new ControllerHarness().start().addServers(6);
        harness.request("a", 0, 0);
        long failing = harness.actions.lastServer.get("a");
        harness.ended("a", Outcome.ERROR);
        harness.started("a");
        for (int i = 0; i < 30; i++) {
            harness.request("s" + i, 0, 0);
            assertNotEquals(failing, harness.actions.lastServer.get("s" + i));
        }
    }

    @Test
    void goneServersAreForgottenOnceNothingPlaysThere() {
        ControllerHarness harness = new ControllerHarness().start().addServers(2);
        for (int i = 0; i < 40; i++) {
            harness.sendList(ListScope.CHANGES, List.of(new ServerEntry(100 + i, ServerState.READY, 0, 0, 1, 0, 1)));
            harness.sendList(ListScope.CHANGES, List.of(new ServerEntry(100 + i, ServerState.GONE, 0, 0, 1, 0, 1)));
            harness.tick(10_000);
        }
        assertTrue(harness.controller.serversHeld() <= 2 + 8, harness.controller.serversHeld() + " servers are held");
    }
}
