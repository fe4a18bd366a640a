package calicovale.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.Claim.Kind;
import calicovale.gossip.claims.ClaimBook;
import calicovale.gossip.claims.ClaimProofs;
import calicovale.gossip.claims.ClaimSettings;
import calicovale.gossip.claims.Judge;
import calicovale.gossip.claims.Outcomes;
import calicovale.gossip.claims.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Claims without any network: what is said, what is taken, and what a judge makes of it. */
class ClaimsTest {
    private static final ClaimSettings LAN = ClaimSettings.LAN;
    /** Everything is proved but what is from a forger. */
    private static final ClaimProofs PROOFS = new ClaimProofs() {
        @Override
        public byte[] prove(Statement statement) {
            return new byte[0];
        }

        @Override
        public boolean proved(Statement statement) {
            return !statement.from().equals("forger");
        }
    };

    private final ClaimBook book = new ClaimBook(LAN, "me", PROOFS);
    private final Judge judge = new Judge(LAN, "me", 100);
    private long number = 1_000_000;

    private static Claim claim(long box) {
        return new Claim(box, Kind.FAILED, 1, 0, LAN.lastsMs());
    }

    private boolean hear(double nowMs, String from, long... boxes) {
        List<Claim> claims = new ArrayList<>();
        for (long box : boxes) {
            claims.add(claim(box));
        }
        return book.take(nowMs, number, new Statement(from, ++number, claims, new byte[0]));
    }

    private double evidence(double nowMs, int present, long box) {
        return judge.evidence(nowMs, present, book.held()).getOrDefault(box, 0.0);
    }

    @Test
    void evidenceBeginsAtTheQuorumAndNeverBelow() {
        for (int k = 1; k <= 6; k++) {
            hear(0, "p" + k, 7);
            assertEquals(k == 6, evidence(10, 30, 7) > 0, k + " of 30");
        }
        assertEquals(1, evidence(10, 30, 7), 1e-9);
        assertEquals(0, evidence(10, 30, 8));
        assertEquals(2, LAN.quorum(3));
        assertEquals(20, LAN.quorum(100));
    }

    @Test
    void oneMemberHasOneVoiceHoweverOftenAndUnderHoweverManyBoxes() {
        for (int round = 0; round < 50; round++) {
            hear(round, "loud", 1, 2, 3, 4, 5, 6, 7);
        }
        for (long box = 1; box <= 7; box++) {
            assertEquals(0, evidence(60, 5, box));
        }
        // beside one who claims one box it is a reporter of that, with a seventh of a voice
        hear(60, "other", 3);
        assertEquals((1 + 1 / 7.0) / 2, evidence(70, 5, 3), 1e-9);
        assertEquals(0, evidence(70, 5, 4));
        // boxes under other numbers divide the voice, they do not multiply it
        double all = 0;
        hear(80, "third", 1, 2, 3, 4, 5, 6, 7, 8);
        for (long box = 1; box <= 8; box++) {
            all += evidence(90, 5, box) * LAN.quorum(5);
        }
        assertTrue(all <= 3 + 1e-9, all + " of three members");
    }

    @Test
    void whatWorkedHereOutranksAnyNumberUntilItIsOld() {
        for (int k = 1; k <= 20; k++) {
            hear(0, "p" + k, 7);
        }
        judge.saw(100, 7, true, book.held());
        assertEquals(0, evidence(150, 30, 7));
        for (int k = 1; k <= 20; k++) {
            hear(3000, "p" + k, 7);
        }
        assertEquals(0, evidence(100 + LAN.ownSuccessPriorityMs() - 1, 30, 7));
        assertTrue(evidence(100 + LAN.ownSuccessPriorityMs() + 1, 30, 7) > 0);
        judge.saw(4300, 7, true, book.held());
        judge.saw(4400, 7, false, book.held());
        assertTrue(evidence(4500, 30, 7) > 0, "it failed here since");
    }

    @Test
    void claimsFadeAndWhatIsBelievedHoldsDownToHalfTheQuorum() {
        for (int k = 1; k <= 6; k++) {
            hear(0, "p" + k, 7);
        }
        double before = evidence(1, 30, 7);
        double later = evidence(0.75 * LAN.lastsMs(), 30, 7);
        assertTrue(before == 1 && later > 0.4 && later < 0.6, before + ", " + later);
        // they fell silent together: who believed them comes back by and by
        double silent = evidence(LAN.lastsMs(), 30, 7);
        assertTrue(silent > 0.1 && silent < later, silent + "");
        assertTrue(evidence(LAN.lastsMs() + 3000, 30, 7) < 0.6 * silent);
        assertEquals(0, evidence(LAN.lastsMs() + 15_000, 30, 7));
        double now = 40_000;
        for (int k = 1; k <= 6; k++) {
            hear(now, "p" + k, 7);
        }
        assertEquals(1, evidence(now, 30, 7), 1e-9);
        for (int k = 1; k <= 3; k++) {
            hear(now, "p" + k);
        }
        now += 5000;
        for (int k = 4; k <= 6; k++) {
            hear(now, "p" + k, 7);
        }
        assertEquals(0.5, evidence(now, 30, 7), 1e-9, "three of six still say so");
        hear(now, "p4");
        double two = evidence(now + 6000, 30, 7);
        assertTrue(two < 0.2, two + ": it fades though two say so");
        hear(now + 20_000, "p4", 7);
        hear(now + 20_000, "p5", 7);
        hear(now + 20_000, "p6", 7);
        assertEquals(0, evidence(now + 20_000, 30, 7), "and it begins at the quorum again");
    }

    @Test
    void aVoiceThatIsContradictedGetsWeakerAndComesBack() {
        for (int round = 0; round < 10; round++) {
            double now = 3000 * round;
            hear(now, "liar", 7);
            judge.saw(now + 10, 7, true, book.held());
            judge.saw(now + 20, 7, true, book.held());
            judge.saw(now + 30, 7, true, book.held());
        }
        assertTrue(judge.reporterWeight("liar", 27_100) < 0.1, judge.reporterWeight("liar", 27_100) + "");
        assertEquals(1, judge.reporterWeight("honest", 27_100));
        // three liars with such voices are not two members
        assertTrue(judge.contradictions() >= 9 && judge.contradictions() <= 10, judge.contradictions() + "");
        hear(27_200, "honest", 8);
        hear(27_200, "liar", 8);
        assertEquals(0, evidence(27_300, 5, 8));
        assertEquals(1, judge.reporterWeight("liar", 27_100 + 70_000), 1e-9);
        // a box that fails every second set-up contradicts nobody
        for (int round = 0; round < 10; round++) {
            judge.saw(30_000 + round, 8, true, book.held());
            judge.saw(30_000 + round, 8, false, book.held());
        }
        assertEquals(1, judge.reporterWeight("honest", 31_000));
    }

    @Test
    void aStatementReplacesTheOneBeforeAndWhatIsOldForgedOrTooMuchIsNotTaken() {
        assertTrue(hear(0, "p1", 1, 2));
        assertTrue(hear(10, "p1", 2));
        assertEquals(1, book.held().size());
        assertFalse(
                book.take(20, number, new Statement("p1", number - 5, List.of(claim(9)), new byte[0])), "an older one");
        assertFalse(hear(20, "forger", 1));
        assertFalse(hear(20, "me", 1), "nobody else speaks for this member");
        assertFalse(
                book.take(20, 1_000_000, new Statement("p2", 1_000_000 + 30_001, List.of(), new byte[0])),
                "of another time");
        assertFalse(book.take(20, 1_000_000, new Statement("p2", 1_000_000 - 30_001, List.of(), new byte[0])));
        assertFalse(hear(20, "p2", 1, 1), "one box twice");
        assertFalse(hear(20, "p2", 1, 2, 3, 4, 5, 6, 7, 8, 9), "too many");
        assertEquals(5, book.rejected());
        book.remove("p1");
        assertEquals(0, book.held().size());
    }

    @Test
    void aMemberSaysWhatChangedRefreshesWhatHoldsAndTakesBackWhatIsOver() {
        book.say(0, 5000, List.of(claim(3)));
        assertEquals(1, book.take(2).size());
        assertEquals(1, book.take(2).size());
        assertEquals(0, book.take(2).size(), "sent often enough");
        book.say(100, 5100, List.of(claim(3)));
        assertFalse(book.hasPending(), "nothing new");
        book.say(LAN.refreshIntervalMs(), 7000, List.of(claim(3)));
        assertTrue(book.hasPending(), "said again");
        book.say(LAN.refreshIntervalMs() + 1, 6000, List.of());
        Statement last = book.take(9).get(0);
        // the clock went back: the number does not
        assertTrue(last.claims().isEmpty() && last.version() == 7001, last.toString());
        book.say(LAN.refreshIntervalMs() + 2, 6000, List.of());
        assertEquals(7001, book.take(9).get(0).version(), "nothing to say, and said");
    }

    @Test
    void outcomesMakeClaimsUntilSomethingWorksOrTheyAreOld() {
        Outcomes o = new Outcomes(LAN, 2);
        o.saw(0, 1, Kind.TIMEOUT);
        o.saw(10, 1, Kind.TIMEOUT);
        o.saw(20, 1, Kind.RESET);
        Claim c = o.claims(120).get(0);
        assertEquals(List.of(1L, Kind.TIMEOUT, 1.0, 100.0), List.of(c.box(), c.kind(), c.strength(), c.ageMs()));
        o.saw(200, 1, null);
        assertTrue(o.claims(210).isEmpty(), "it works again");
        o.saw(220, 1, Kind.FAILED);
        assertEquals(0.8, o.claims(230).get(0).strength(), 1e-9);
        assertTrue(o.claims(220 + LAN.outcomeWindowMs() + 1).isEmpty(), "too old");
        for (int i = 0; i < 9; i++) {
            o.saw(9000, 2, null);
        }
        o.saw(9001, 2, Kind.FAILED);
        assertTrue(o.claims(9002).isEmpty(), "one in ten is no suspicion");
        o.saw(9001, 1, Kind.FAILED);
        o.saw(9001, 99, Kind.FAILED);
        assertEquals(1, o.rejectedOverBound());
        assertEquals(
                Map.of(1L, 1.0),
                Map.of(o.claims(9002).get(0).box(), o.claims(9002).get(0).strength()));
    }
}
