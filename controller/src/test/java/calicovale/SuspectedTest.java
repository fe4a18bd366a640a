package calicovale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.*;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Claims of peers that a server is faulty: without claims all decisions are those of a controller that does not handle
 * claims, and with claims the server gets fewer attempts while no viewer is refused because of them.
 */
class SuspectedTest {
    /** Digest of the actions on {@link #runScenario} before the controller handled claims of peers. */
    private static final String EXPECTED_ACTIONS_SHA256 =
            "8261b8f49caac8a27cc7fc7300dbe40e6d3596893f10de509b3376086b424239";

    private static final int EXPECTED_ACTION_COUNT = 4712;

    private static ControllerHarness startHarness() {
        ControllerHarness harness = new ControllerHarness();
        harness.rules = new Rules(0.5, 10_000, 2, 1000, 250, 20, 0.3, 10_000, 0);
        harness.racks = 3;
        harness.uplinkKb = 60_000;
        harness.streamsPerServer = 60;
        harness.controllers = 4;
        harness.fullFrom = 1;
        return harness.start().addServers(12);
    }

    /**
     * Runs two minutes of requests, failures, notes, a drain and a restart, all drawn from one seed. Returns the
     * actions as text.
     */
    private static List<String> runScenario(ControllerHarness harness) {
        SplittableRandom random = new SplittableRandom(20_261_201);
        List<String> pending = new ArrayList<>();
        List<String> playing = new ArrayList<>();
        List<Integer> outcomeDraws = new ArrayList<>();
        int linesRead = 0;
        for (int step = 0; step < 6000; step++) {
            harness.now += 20;
            if (random.nextInt(3) == 0) {
                harness.request("q" + step, random.nextInt(2), 1 + random.nextInt(3));
            }
            for (; linesRead < harness.actions.lines.size(); linesRead++) {
                String line = harness.actions.lines.get(linesRead);
                if (line.startsWith("attempt ")) {
                    pending.add(line.split(" ")[1]);
                    outcomeDraws.add(random.nextInt(100));
                }
            }
            while (!pending.isEmpty()) {
                String id = pending.remove(0);
                int outcomeDraw = outcomeDraws.remove(0);
                long server = harness.actions.lastServer.get(id);
                // Servers 1 and 2 fail often from step 1000 to step 3000.
                boolean failing = server <= 2 && step > 1000 && step < 3000;
                if (failing && outcomeDraw < 70) {
                    harness.ended(
                            id,
                            outcomeDraw < 30
                                    ? Outcome.TIMEOUT
                                    : outcomeDraw < 50 ? Outcome.ERROR : Outcome.CONNECT_FAILED);
                } else if (outcomeDraw < 4) {
                    harness.ended(id, Outcome.FULL);
                } else {
                    harness.started(id);
                    playing.add(id);
                }
                for (; linesRead < harness.actions.lines.size(); linesRead++) {
                    String line = harness.actions.lines.get(linesRead);
                    if (line.startsWith("attempt ")) {
                        pending.add(line.split(" ")[1]);
                        outcomeDraws.add(random.nextInt(100));
                    }
                }
            }
            if (!playing.isEmpty() && random.nextInt(3) == 0) {
                harness.ended(playing.remove(random.nextInt(playing.size())), Outcome.OK);
            }
            if (!playing.isEmpty() && random.nextInt(4) == 0) {
                String id = playing.get(random.nextInt(playing.size()));
                int kind = random.nextInt(3);
                harness.note(
                        id,
                        kind == 0 ? NoteKind.LINK_USE : kind == 1 ? NoteKind.UPLINK_USE : NoteKind.DELIVERED_SHARE,
                        kind == 2 ? 0.7 + 0.3 * random.nextDouble() : random.nextDouble());
            }
            if (step == 2000) {
                harness.sendList(
                        ListScope.CHANGES, List.of(ControllerHarness.listEntry(5, ServerState.DRAINING, 4, 0)));
            }
            if (step == 2400) {
                harness.sendList(
                        ListScope.CHANGES, List.of(ControllerHarness.listEntry(5, ServerState.READY, 4, harness.now)));
            }
            if (step % 12 == 0) {
                harness.tick(0);
            }
        }
        return harness.actions.lines;
    }

    @Test
    void withoutClaimsActionsMatchTheRecordedDigest() throws GeneralSecurityException {
        List<String> actions = runScenario(startHarness());
        assertEquals(EXPECTED_ACTION_COUNT, actions.size());
        byte[] digest = MessageDigest.getInstance("SHA-256")
                .digest(String.join("\n", actions).getBytes(StandardCharsets.UTF_8));
        assertEquals(EXPECTED_ACTIONS_SHA256, HexFormat.of().formatHex(digest));
    }

    @Test
    void withdrawnClaimsDoNotChangeActions() {
        List<String> without = runScenario(startHarness());
        ControllerHarness harness = startHarness();
        harness.controller.handle(harness.now, new Suspected(3, 0.8));
        harness.controller.handle(harness.now, new Suspected(99, 1));
        harness.controller.handle(harness.now, new Suspected(3, 0));
        assertEquals(without, runScenario(harness));
    }

    /**
     * Sends requests at an interval, each set up at once and played to its end, and returns how many attempts went to
     * the given server. All attempts there end in an error unless {@code works}.
     */
    private static int countAttemptsAt(
            ControllerHarness harness, long server, int requests, double everyMs, boolean works) {
        int attemptsAtServer = 0;
        for (int i = 0; i < requests; i++) {
            harness.now += everyMs;
            String id = "s" + harness.now + "-" + i;
            harness.request(id, 1, 1);
            while (harness.actions.wasAttempted(id) && !harness.actions.wasRefused(id)) {
                boolean atServer = harness.actions.lastServer.get(id) == server;
                attemptsAtServer += atServer ? 1 : 0;
                if (!atServer || works) {
                    harness.started(id);
                    harness.controller.handle(
                            harness.now,
                            new AttemptEnded(
                                    id,
                                    (int) harness.actions.count("attempt", id) - 1,
                                    harness.actions.lastServer.get(id),
                                    Outcome.OK,
                                    50,
                                    true,
                                    Map.of()));
                    break;
                }
                harness.ended(id, Outcome.ERROR);
            }
        }
        return attemptsAtServer;
    }

    @Test
    void suspectedServerGetsOnlyTrialsInTurn() {
        int attemptsWithoutClaims = countAttemptsAt(startHarness(), 4, 2400, 20, true);
        ControllerHarness harness = startHarness();
        harness.controller.handle(harness.now, new Suspected(4, 1));
        int trials = countAttemptsAt(harness, 4, 2400, 20, true);
        // Each of four managers has turns of 4 s, so this one has three or four turns in 48 s.
        assertTrue(
                attemptsWithoutClaims > 100 && trials >= 2 && trials <= 4,
                attemptsWithoutClaims + " attempts without claims, " + trials + " trials");
        harness.controller.handle(harness.now, new Suspected(4, 0.2));
        int attemptsUnderWeakClaims = countAttemptsAt(harness, 4, 2400, 20, true);
        assertTrue(
                attemptsUnderWeakClaims > 2 * trials && attemptsUnderWeakClaims < attemptsWithoutClaims,
                attemptsUnderWeakClaims + " attempts while the claims are weak");
        harness.controller.handle(harness.now, new Suspected(4, 0));
        assertTrue(
                countAttemptsAt(harness, 4, 2400, 20, true) > attemptsWithoutClaims / 2,
                "the server is used again without claims");
    }

    @Test
    void managersTakeTurnsWithTrialsAtASuspectedServer() {
        List<Double> trialTimes = new ArrayList<>();
        for (int self = 0; self < 4; self++) {
            ControllerHarness harness = new ControllerHarness();
            harness.controllers = 4;
            harness.self = self;
            harness.start().addServers(6);
            harness.controller.handle(harness.now, new Suspected(3, 1));
            for (int i = 0; i < 800; i++) {
                harness.now += 40;
                harness.request("a" + i, 1, 1);
                if (harness.actions.lastServer.get("a" + i) == 3) {
                    trialTimes.add(harness.now);
                }
                harness.started("a" + i);
                harness.ended("a" + i, Outcome.OK);
            }
        }
        trialTimes.sort(null);
        for (int i = 1; i < trialTimes.size(); i++) {
            assertTrue(
                    trialTimes.get(i) - trialTimes.get(i - 1) > 20,
                    "trials of two managers at the same time, at " + trialTimes.get(i));
        }
        assertTrue(trialTimes.size() >= 4 && trialTimes.size() <= 9, trialTimes.size() + " trials in 32 s");
    }

    @Test
    void noRequestIsRefusedWhenAllServersAreSuspected() {
        ControllerHarness harness = startHarness();
        for (long server = 1; server <= 12; server++) {
            harness.controller.handle(harness.now, new Suspected(server, 1));
        }
        for (int i = 0; i < 40; i++) {
            harness.now += 5;
            harness.request("n" + i, 1, 1);
            assertTrue(harness.actions.wasAttempted("n" + i), "request " + i);
            harness.started("n" + i);
        }
        assertEquals(0, harness.actions.count("refuse"));
    }

    @Test
    void noRequestIsRefusedWhenTheOnlyServerIsSuspected() {
        ControllerHarness harness = new ControllerHarness();
        harness.controllers = 4;
        harness.start().addServers(1);
        harness.controller.handle(harness.now, new Suspected(1, 1));
        for (int i = 0; i < 10; i++) {
            harness.now += 5;
            harness.request("n" + i, 1, 1);
            assertTrue(harness.actions.wasAttempted("n" + i));
            harness.started("n" + i);
        }
    }
}
