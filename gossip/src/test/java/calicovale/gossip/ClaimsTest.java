package calicovale.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.gossip.claims.BoxOutcomes;
import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.Claim.Kind;
import calicovale.gossip.claims.ClaimEvaluator;
import calicovale.gossip.claims.ClaimSettings;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.claims.StatementProofs;
import calicovale.gossip.claims.StatementStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Claims without a network: which statements are made and accepted, and which evidence they give. */
class ClaimsTest {
    private static final ClaimSettings LAN = ClaimSettings.LAN;
    /** Accepts every proof except those of the member {@code forger}. */
    private static final StatementProofs PROOFS = new StatementProofs() {
        @Override
        public byte[] prove(Statement statement) {
            return new byte[0];
        }

        @Override
        public boolean verify(Statement statement) {
            return !statement.reporter().equals("forger");
        }
    };

    private final StatementStore store = new StatementStore(LAN, "me", PROOFS);
    private final ClaimEvaluator evaluator = new ClaimEvaluator(LAN, "me", 100);
    private long lastVersion = 1_000_000;

    private static Claim claim(long box) {
        return new Claim(box, Kind.FAILED, 1, 0, LAN.claimValidityMs());
    }

    private boolean receive(double nowMs, String reporter, long... boxes) {
        List<Claim> claims = new ArrayList<>();
        for (long box : boxes) {
            claims.add(claim(box));
        }
        return store.accept(nowMs, lastVersion, new Statement(reporter, ++lastVersion, claims, new byte[0]));
    }

    private double evidence(double nowMs, int presentMembers, long box) {
        return evaluator.evidence(nowMs, presentMembers, store.statements()).getOrDefault(box, 0.0);
    }

    @Test
    void evidenceBeginsAtTheQuorumAndNeverBelow() {
        for (int i = 1; i <= 6; i++) {
            receive(0, "p" + i, 7);
            assertEquals(i == 6, evidence(10, 30, 7) > 0, i + " of 30");
        }
        assertEquals(1, evidence(10, 30, 7), 1e-9);
        assertEquals(0, evidence(10, 30, 8));
        assertEquals(2, LAN.quorum(3));
        assertEquals(20, LAN.quorum(100));
    }

    @Test
    void aMembersEvidenceSumsToAtMostOneForAnyNumberOfStatementsAndBoxes() {
        for (int round = 0; round < 50; round++) {
            receive(round, "frequent", 1, 2, 3, 4, 5, 6, 7);
        }
        for (long box = 1; box <= 7; box++) {
            assertEquals(0, evidence(60, 5, box));
        }
        // Together with a member that claims one box it counts for that box; a seventh of its weight is added to the
        // evidence against it.
        receive(60, "other", 3);
        assertEquals((1 + 1 / 7.0) / 2, evidence(70, 5, 3), 1e-9);
        assertEquals(0, evidence(70, 5, 4));
        // Claims on more boxes divide a member's part of the evidence and don't multiply it.
        double all = 0;
        receive(80, "third", 1, 2, 3, 4, 5, 6, 7, 8);
        for (long box = 1; box <= 8; box++) {
            all += evidence(90, 5, box) * LAN.quorum(5);
        }
        assertTrue(all <= 3 + 1e-9, all + " of three members");
    }

    @Test
    void aRecentOwnSuccessOverridesAnyNumberOfClaims() {
        for (int i = 1; i <= 20; i++) {
            receive(0, "p" + i, 7);
        }
        evaluator.recordOutcome(100, 7, true, store.statements());
        assertEquals(0, evidence(150, 30, 7));
        for (int i = 1; i <= 20; i++) {
            receive(3000, "p" + i, 7);
        }
        assertEquals(0, evidence(100 + LAN.ownSuccessPriorityMs() - 1, 30, 7));
        assertTrue(evidence(100 + LAN.ownSuccessPriorityMs() + 1, 30, 7) > 0);
        evaluator.recordOutcome(4300, 7, true, store.statements());
        evaluator.recordOutcome(4400, 7, false, store.statements());
        assertTrue(evidence(4500, 30, 7) > 0, "a later own failure");
    }

    @Test
    void claimsFadeAndEvidenceHoldsDownToHalfTheQuorum() {
        for (int i = 1; i <= 6; i++) {
            receive(0, "p" + i, 7);
        }
        double before = evidence(1, 30, 7);
        double later = evidence(0.75 * LAN.claimValidityMs(), 30, 7);
        assertTrue(before == 1 && later > 0.4 && later < 0.6, before + ", " + later);
        // The claims ended together; the evidence decays gradually, so that the members don't all return to the box
        // at once.
        double silent = evidence(LAN.claimValidityMs(), 30, 7);
        assertTrue(silent > 0.1 && silent < later, silent + "");
        assertTrue(evidence(LAN.claimValidityMs() + 3000, 30, 7) < 0.6 * silent);
        assertEquals(0, evidence(LAN.claimValidityMs() + 15_000, 30, 7));
        double now = 40_000;
        for (int i = 1; i <= 6; i++) {
            receive(now, "p" + i, 7);
        }
        assertEquals(1, evidence(now, 30, 7), 1e-9);
        for (int i = 1; i <= 3; i++) {
            receive(now, "p" + i);
        }
        now += 5000;
        for (int i = 4; i <= 6; i++) {
            receive(now, "p" + i, 7);
        }
        assertEquals(0.5, evidence(now, 30, 7), 1e-9, "three of six members still claim it");
        receive(now, "p4");
        double two = evidence(now + 6000, 30, 7);
        assertTrue(two < 0.2, two + ": it fades although two members claim it");
        receive(now + 20_000, "p4", 7);
        receive(now + 20_000, "p5", 7);
        receive(now + 20_000, "p6", 7);
        assertEquals(0, evidence(now + 20_000, 30, 7), "it begins at the quorum again");
    }

    @Test
    void aContradictedReporterLosesWeightAndRecoversIt() {
        for (int round = 0; round < 10; round++) {
            double now = 3000 * round;
            receive(now, "false-reporter", 7);
            evaluator.recordOutcome(now + 10, 7, true, store.statements());
            evaluator.recordOutcome(now + 20, 7, true, store.statements());
            evaluator.recordOutcome(now + 30, 7, true, store.statements());
        }
        assertTrue(
                evaluator.reporterWeight("false-reporter", 27_100) < 0.1,
                evaluator.reporterWeight("false-reporter", 27_100) + "");
        assertEquals(1, evaluator.reporterWeight("honest", 27_100));
        assertTrue(
                evaluator.contradictions() >= 9 && evaluator.contradictions() <= 10, evaluator.contradictions() + "");
        // With such a weight, the reporter and one other member are below the quorum of two.
        receive(27_200, "honest", 8);
        receive(27_200, "false-reporter", 8);
        assertEquals(0, evidence(27_300, 5, 8));
        assertEquals(1, evaluator.reporterWeight("false-reporter", 27_100 + 70_000), 1e-9);
        // A box that fails every second set-up contradicts no claim.
        for (int round = 0; round < 10; round++) {
            evaluator.recordOutcome(30_000 + round, 8, true, store.statements());
            evaluator.recordOutcome(30_000 + round, 8, false, store.statements());
        }
        assertEquals(1, evaluator.reporterWeight("honest", 31_000));
    }

    @Test
    void aStatementReplacesTheFormerAndOldForgedOrOversizedOnesAreRejected() {
        assertTrue(receive(0, "p1", 1, 2));
        assertTrue(receive(10, "p1", 2));
        assertEquals(1, store.statements().size());
        assertFalse(
                store.accept(20, lastVersion, new Statement("p1", lastVersion - 5, List.of(claim(9)), new byte[0])),
                "an older version");
        assertFalse(receive(20, "forger", 1));
        assertFalse(receive(20, "me", 1), "this member's own name");
        assertFalse(
                store.accept(20, 1_000_000, new Statement("p2", 1_000_000 + 30_001, List.of(), new byte[0])),
                "outside the clock skew");
        assertFalse(store.accept(20, 1_000_000, new Statement("p2", 1_000_000 - 30_001, List.of(), new byte[0])));
        assertFalse(receive(20, "p2", 1, 1), "two claims on one box");
        assertFalse(receive(20, "p2", 1, 2, 3, 4, 5, 6, 7, 8, 9), "too many claims");
        assertEquals(5, store.rejected());
        store.remove("p1");
        assertEquals(0, store.statements().size());
    }

    @Test
    void aMemberSendsChangesRefreshesValidClaimsAndWithdrawsPastOnes() {
        store.updateOwn(0, 5000, List.of(claim(3)));
        assertEquals(1, store.takeForMessage(2).size());
        assertEquals(1, store.takeForMessage(2).size());
        assertEquals(0, store.takeForMessage(2).size(), "sent as often as allowed");
        store.updateOwn(100, 5100, List.of(claim(3)));
        assertFalse(store.hasPending(), "unchanged");
        store.updateOwn(LAN.refreshIntervalMs(), 7000, List.of(claim(3)));
        assertTrue(store.hasPending(), "refreshed");
        store.updateOwn(LAN.refreshIntervalMs() + 1, 6000, List.of());
        Statement last = store.takeForMessage(9).get(0);
        // The clock went back, but the version does not.
        assertTrue(last.claims().isEmpty() && last.version() == 7001, last.toString());
        store.updateOwn(LAN.refreshIntervalMs() + 2, 6000, List.of());
        assertEquals(7001, store.takeForMessage(9).get(0).version(), "still no claims, so no new statement");
    }

    @Test
    void outcomesMakeClaimsUntilASuccessOrTheirExpiry() {
        BoxOutcomes outcomes = new BoxOutcomes(LAN, 2);
        outcomes.recordOutcome(0, 1, Kind.TIMEOUT);
        outcomes.recordOutcome(10, 1, Kind.TIMEOUT);
        outcomes.recordOutcome(20, 1, Kind.RESET);
        Claim claim = outcomes.claims(120).get(0);
        assertEquals(
                List.of(1L, Kind.TIMEOUT, 1.0, 100.0),
                List.of(claim.box(), claim.kind(), claim.strength(), claim.ageMs()));
        outcomes.recordOutcome(200, 1, null);
        assertTrue(outcomes.claims(210).isEmpty(), "it works again");
        outcomes.recordOutcome(220, 1, Kind.FAILED);
        assertEquals(0.8, outcomes.claims(230).get(0).strength(), 1e-9);
        assertTrue(outcomes.claims(220 + LAN.outcomeWindowMs() + 1).isEmpty(), "outside the window");
        for (int i = 0; i < 9; i++) {
            outcomes.recordOutcome(9000, 2, null);
        }
        outcomes.recordOutcome(9001, 2, Kind.FAILED);
        assertTrue(outcomes.claims(9002).isEmpty(), "one failure in ten is below the least strength");
        outcomes.recordOutcome(9001, 1, Kind.FAILED);
        outcomes.recordOutcome(9001, 99, Kind.FAILED);
        assertEquals(1, outcomes.rejectedOverBound());
        assertEquals(
                Map.of(1L, 1.0),
                Map.of(
                        outcomes.claims(9002).get(0).box(),
                        outcomes.claims(9002).get(0).strength()));
    }
}
