package calicovale.gossip.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.wire.Envelopes.Drop;
import calicovale.gossip.wire.Envelopes.Opened;
import calicovale.protocols.keys.Ed25519;
import java.security.PrivateKey;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Messages as bytes: every form there and back, every way in which an envelope must be dropped, and damaged bytes. */
class WireTest {
    private static final WireLimits LIMITS = WireLimits.DEFAULT;
    private static final double WALL = 1_800_000_000_000.0;

    /** One member's keys and envelopes. */
    private static final class Party {
        final Ed25519.Pair pair;
        final Roster roster;
        final Signer signer;
        final Envelopes envelopes;

        Party(String group, Ed25519.Pair pair, long life, List<Roster.Entry> allowed) {
            this.pair = pair;
            roster = new Roster(group, null, 100);
            roster.replaceListed(allowed, List.of(), Set.of());
            signer = new Signer(
                    roster,
                    () -> WALL,
                    Ed25519.privateKey(pair.privateKey()),
                    Ed25519.raw(Ed25519.publicKey(pair.publicKey())),
                    null);
            envelopes = new Envelopes(roster, signer, LIMITS, life, 0);
        }

        long dropped(Drop why) {
            return envelopes.drops().get(why);
        }
    }

    private static Ed25519.Pair pair() {
        try {
            return Ed25519.Pair.make();
        } catch (java.security.GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Roster.Entry entry(String member, Ed25519.Pair pair) {
        return new Roster.Entry(member, Ed25519.publicKey(pair.publicKey()), 0, Double.MAX_VALUE);
    }

    private final Ed25519.Pair keyA = pair();
    private final Ed25519.Pair keyB = pair();
    private final List<Roster.Entry> both = List.of(entry("a", keyA), entry("b", keyB));
    private final Party a = new Party("g", keyA, 100, both);
    private final Party b = new Party("g", keyB, 100, both);

    private static List<Message> all() {
        byte[] proof = new byte[72];
        Arrays.fill(proof, (byte) 7);
        List<Update> updates = List.of(
                new Update("m1", "127.0.0.1:4000", 17, State.ALIVE, "m1", proof),
                new Update("m2", "", Long.MAX_VALUE / 2, State.SUSPECT, "m1", proof));
        return List.of(
                new Message.Ping(1, "m2", updates),
                new Message.PingReq(-1, "m2", "127.0.0.1:1", List.of()),
                new Message.Ack(Long.MAX_VALUE, updates),
                new Message.Nack(0, List.of()),
                new Message.Dissemination(updates),
                new Message.Digest(Long.MIN_VALUE, updates),
                new Message.PushPull(true, updates),
                new Message.PushPull(false, List.of()),
                new Message.Claims(List.of(
                        new Statement("m1", 5, List.of(new Claim(7, Claim.Kind.TIMEOUT, 0.5, 20, 6000)), proof),
                        new Statement("m2", 6, List.of(), proof))));
    }

    @Test
    void everyMessageComesBackAsItWas() throws WireException {
        Codec codec = new Codec(LIMITS);
        for (Message m : all()) {
            byte[] bytes = codec.encode(m);
            Message back = codec.decode(bytes, 0, bytes.length);
            assertArrayEquals(bytes, codec.encode(back));
            assertEquals(m.getClass(), back.getClass());
            assertEquals(m.updates().size(), back.updates().size());
            for (int i = 0; i < m.updates().size(); i++) {
                Update u = m.updates().get(i);
                Update v = back.updates().get(i);
                assertEquals(
                        List.of(u.memberId(), u.address(), u.incarnation(), u.state(), u.reporter()),
                        List.of(v.memberId(), v.address(), v.incarnation(), v.state(), v.reporter()));
                assertArrayEquals(u.proof(), v.proof());
            }
        }
    }

    @Test
    void whatIsAnythingElseIsRefusedWhole() throws WireException {
        Codec codec = new Codec(LIMITS);
        byte[] good = codec.encode(new Message.Nack(0, List.of()));
        assertEquals(new Message.Nack(0, List.of()), codec.decode(good, 0, good.length));
        List<byte[]> bad = new ArrayList<>();
        bad.add(new byte[0]);
        bad.add(Arrays.copyOf(good, good.length + 1));
        byte[] version = good.clone();
        version[1] = 2;
        bad.add(version);
        byte[] kind = good.clone();
        kind[2] = 8;
        bad.add(kind);
        bad.add(codec.encode(new Message.Ping(1, "a b", List.of())));
        bad.add(codec.encode(new Message.Ping(1, "x".repeat(65), List.of())));
        bad.add(codec.encode(
                new Message.Dissemination(List.of(new Update("m", "", -1, State.ALIVE, "m", new byte[1])))));
        bad.add(codec.encode(
                new Message.Dissemination(List.of(new Update("m", "", 1, State.ALIVE, "m", new byte[401])))));
        List<Claim> nine = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            nine.add(new Claim(i, Claim.Kind.RESET, 1, 0, 1));
        }
        bad.add(codec.encode(new Message.Claims(List.of(new Statement("m", 1, nine, new byte[1])))));
        for (byte[] bytes : bad) {
            assertThrows(WireException.class, () -> codec.decode(bytes, 0, bytes.length), Arrays.toString(bytes));
        }
    }

    @Test
    void damagedMessagesNeverDoMoreThanBeRefused() {
        Codec codec = new Codec(LIMITS);
        var threads = (com.sun.management.ThreadMXBean) java.lang.management.ManagementFactory.getThreadMXBean();
        int refused = 0;
        for (long seed : new long[] {1, 2, 20_261_201}) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int round = 0; round < 20_000; round++) {
                byte[] bytes = codec.encode(all().get(random.nextInt(9)));
                for (int i = random.nextInt(1, 5); i > 0; i--) {
                    int at = random.nextInt(bytes.length);
                    switch (random.nextInt(4)) {
                        case 0 -> bytes[at] = (byte) random.nextInt(256);
                        case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                        case 2 -> bytes = Arrays.copyOf(bytes, at + 1);
                        default -> {
                            // a length of up to 2 GB, declared only
                            byte[] head = {(byte) (random.nextInt(8) << 5 | 26), 0x7f, (byte) random.nextInt(256), 1, 1
                            };
                            System.arraycopy(head, 0, bytes, at, Math.min(head.length, bytes.length - at));
                        }
                    }
                }
                byte[] damaged = bytes;
                long before =
                        threads.getThreadAllocatedBytes(Thread.currentThread().getId());
                try {
                    codec.decode(damaged, 0, damaged.length);
                } catch (WireException e) {
                    refused++;
                }
                long took =
                        threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
                assertTrue(took < 300_000, took + " bytes for " + Arrays.toString(damaged));
            }
        }
        assertTrue(refused > 30_000, refused + " refused");
    }

    @Test
    void anEnvelopeIsOpenedOnceByWhomItIsFor() {
        byte[] message = {1, 2, 3};
        byte[] sealed = a.envelopes.seal(WALL, "b:1", message, false);
        Opened o = b.envelopes.open(0, WALL, "b:1", "a:1", sealed, sealed.length);
        assertEquals("a", o.sender());
        assertArrayEquals(message, Arrays.copyOfRange(sealed, o.messageOffset(), sealed.length));
        assertNull(b.envelopes.open(0, WALL, "b:1", "a:1", sealed, sealed.length));
        assertEquals(1, b.dropped(Drop.REPLAYED));
        // led to another member, whose guard never saw it
        Party c = new Party("g", pair(), 100, both);
        assertNull(c.envelopes.open(0, WALL, "c:1", "a:1", sealed, sealed.length));
        assertEquals(1, c.dropped(Drop.SIGNATURE));
        // and into another group
        Party other = new Party("h", keyB, 100, both);
        assertNull(other.envelopes.open(0, WALL, "b:1", "a:1", sealed, sealed.length));
        assertEquals(1, other.dropped(Drop.SIGNATURE));
    }

    @Test
    void forgedTruncatedStaleAndStrangeEnvelopesAreDroppedEachForItsReason() {
        byte[] sealed = a.envelopes.seal(WALL, "b:1", new byte[] {1, 2, 3}, false);
        for (int cut = 0; cut < sealed.length; cut++) {
            assertNull(b.envelopes.open(0, WALL, "b:1", "a:1", sealed, cut));
        }
        int signed = 0;
        for (int i = 0; i < sealed.length; i++) {
            byte[] forged = sealed.clone();
            forged[i] ^= 1;
            assertNull(b.envelopes.open(10_000.0 * i, WALL, "b:1", "a:1", forged, forged.length), "byte " + i);
            signed++;
        }
        assertEquals(sealed.length, signed);
        assertTrue(
                b.dropped(Drop.SIGNATURE) > 64
                        && b.dropped(Drop.UNKNOWN_KEY) >= 8
                        && b.dropped(Drop.VERSION) > 0
                        && b.dropped(Drop.SKEWED) > 0,
                b.envelopes.drops().toString());
        assertNull(b.envelopes.open(0, WALL + 30_001, "b:1", "a:1", sealed, sealed.length));
        assertNull(b.envelopes.open(0, WALL - 30_001, "b:1", "a:1", sealed, sealed.length));
        // signed with a key of the sender's own making
        Party stranger = new Party("g", pair(), 100, both);
        byte[] own = stranger.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        long unknown = b.dropped(Drop.UNKNOWN_KEY);
        assertNull(b.envelopes.open(0, WALL, "b:1", "a:1", own, own.length));
        assertEquals(unknown + 1, b.dropped(Drop.UNKNOWN_KEY));
        // none of this has spent the real one
        assertNotNull(b.envelopes.open(1e9, WALL, "b:1", "a:1", sealed, sealed.length));
    }

    @Test
    void aWindowOfSequencesTakesLateMessagesOnceAndAnEarlierLifeNotAtAll() {
        List<byte[]> sent = new ArrayList<>();
        for (int i = 0; i < 1500; i++) {
            sent.add(a.envelopes.seal(WALL, "b:1", new byte[] {1}, false));
        }
        double now = 0;
        for (int i : new int[] {0, 1400, 1399, 500, 1499}) {
            assertNotNull(
                    b.envelopes.open(now += 1000, WALL, "b:1", "a:1", sent.get(i), sent.get(i).length), "number " + i);
        }
        // too far behind the window, and seen before
        for (int i : new int[] {1, 0, 1400, 500}) {
            assertNull(
                    b.envelopes.open(now += 1000, WALL, "b:1", "a:1", sent.get(i), sent.get(i).length), "number " + i);
        }
        assertEquals(4, b.dropped(Drop.REPLAYED));
        Party later = new Party("g", keyA, 101, both);
        byte[] next = later.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        assertNotNull(b.envelopes.open(now += 1000, WALL, "b:1", "a:1", next, next.length));
        assertNull(b.envelopes.open(now + 1000, WALL, "b:1", "a:1", sent.get(1498), sent.get(1498).length));
        assertEquals(5, b.dropped(Drop.REPLAYED));
    }

    @Test
    void aFloodFromElsewhereDoesNotKeepAMemberFromBeingHeard() {
        byte[] first = a.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        assertNotNull(b.envelopes.open(0, WALL, "b:1", "a:1", first, first.length));
        byte[] forged = a.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        forged[40] ^= 1;
        int heard = 0;
        for (int ms = 0; ms < 5000; ms++) {
            for (int i = 0; i < 20; i++) {
                assertNull(b.envelopes.open(ms, WALL, "b:1", "x:" + i, forged, forged.length));
            }
            if (ms % 100 == 0) {
                byte[] good = a.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
                heard += b.envelopes.open(ms, WALL, "b:1", "a:1", good, good.length) != null ? 1 : 0;
            }
        }
        assertEquals(50, heard);
        // verified: two seconds' worth at once and then the rate, of 100,000
        assertTrue(
                b.dropped(Drop.SIGNATURE) <= LIMITS.unknownSourceRatePerS() * 7 + 1,
                b.envelopes.drops().toString());
        assertTrue(b.dropped(Drop.RATE) > 90_000);
    }

    @Test
    void aKeyIsReplacedWhileTheOldOneHoldsAndARevokedOneIsNot() {
        Ed25519.Pair next = pair();
        b.roster.replaceListed(List.of(entry("a", keyA), entry("a", next), entry("b", keyB)), List.of(), Set.of());
        byte[] old = a.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        assertNotNull(b.envelopes.open(0, WALL, "b:1", "a:1", old, old.length));
        a.signer.replaceKey(
                Ed25519.privateKey(next.privateKey()), Ed25519.raw(Ed25519.publicKey(next.publicKey())), null);
        byte[] renewed = a.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        assertEquals(
                "a",
                b.envelopes.open(0, WALL, "b:1", "a:1", renewed, renewed.length).sender());
        long id = Ed25519.id(Ed25519.raw(Ed25519.publicKey(next.publicKey())));
        b.roster.replaceListed(List.of(entry("a", next), entry("b", keyB)), List.of(), Set.of(id));
        byte[] revoked = a.envelopes.seal(WALL, "b:1", new byte[] {1}, false);
        assertNull(b.envelopes.open(0, WALL, "b:1", "a:1", revoked, revoked.length));
        assertEquals(1, b.dropped(Drop.UNKNOWN_KEY));
    }

    @Test
    void aCertificateBringsAMemberInAndOneOfAnotherAuthorityGroupOrTimeDoesNot() {
        Ed25519.Pair authority = pair();
        PrivateKey signs = Ed25519.privateKey(authority.privateKey());
        byte[] rawA = Ed25519.raw(Ed25519.publicKey(keyA.publicKey()));
        Certificate good = Certificate.sign(signs, "g", "a", rawA, 0, (long) WALL + 1000);
        Certificate self = Certificate.sign(Ed25519.privateKey(keyA.privateKey()), "g", "a", rawA, 0, Long.MAX_VALUE);
        Certificate foreign = Certificate.sign(signs, "h", "a", rawA, 0, Long.MAX_VALUE);
        Certificate past = Certificate.sign(signs, "g", "a", rawA, 0, (long) WALL);
        for (Certificate c : List.of(self, foreign, past, good)) {
            Roster roster = new Roster("g", Ed25519.publicKey(authority.publicKey()), 10);
            Envelopes here = new Envelopes(roster, b.signer, LIMITS, 1, 0);
            Roster own = new Roster("g", Ed25519.publicKey(authority.publicKey()), 10);
            Signer signer = new Signer(own, () -> WALL, Ed25519.privateKey(keyA.privateKey()), rawA, c);
            Envelopes there = new Envelopes(own, signer, LIMITS, 1, 0);
            byte[] bare = there.seal(WALL, "b:1", new byte[] {1}, false);
            byte[] certified = there.seal(WALL, "b:1", new byte[] {1}, true);
            assertNull(here.open(0, WALL, "b:1", "a:1", bare, bare.length), "not known yet");
            Opened o = here.open(0, WALL, "b:1", "a:1", certified, certified.length);
            assertEquals(c == good, o != null);
            byte[] later = there.seal(WALL, "b:1", new byte[] {1}, false);
            assertEquals(c == good, here.open(0, WALL, "b:1", "a:1", later, later.length) != null);
            if (c == good) {
                assertNull(here.open(0, WALL + 1000, "b:1", "a:1", bare, bare.length), "its time is over");
                roster.replaceListed(List.of(), List.of(), Set.of(Ed25519.id(rawA)));
                assertNull(here.open(
                        0, WALL, "b:1", "a:1", there.seal(WALL, "b:1", new byte[] {1}, true), certified.length));
                assertFalse(roster.admit(good), "revoked");
            }
        }
    }

    @Test
    void proofsHoldForWhatWasSaidByWhomItWasSaidAndForNothingElse() {
        Update u = Update.withoutProof("a", "a:1", 5, State.ALIVE, "a");
        u = u.withProof(a.signer.prove(u));
        assertTrue(b.signer.proved(u));
        for (Update forged : List.of(
                new Update("a", "x:1", 5, State.ALIVE, "a", u.proof()),
                new Update("a", "a:1", 6, State.ALIVE, "a", u.proof()),
                new Update("a", "a:1", 5, State.LEFT, "a", u.proof()),
                new Update("b", "a:1", 5, State.ALIVE, "b", u.proof()),
                new Update("a", "a:1", 5, State.ALIVE, "a", new byte[0]),
                new Update("a", "a:1", 5, State.ALIVE, "a", new byte[72]))) {
            assertFalse(b.signer.proved(forged), forged.toString());
        }
        // another member speaks in its name
        Update inItsName = Update.withoutProof("a", "b:1", 6, State.ALIVE, "a");
        assertFalse(a.signer.proved(inItsName.withProof(b.signer.prove(inItsName))));
        Statement s = new Statement("a", 1, List.of(new Claim(3, Claim.Kind.FAILED, 0.333, 17.4, 6000)), new byte[0]);
        s = new Statement("a", 1, s.claims(), a.signer.prove(s));
        assertTrue(b.signer.proved(s));
        assertFalse(b.signer.proved(new Statement("a", 2, s.claims(), s.proof())));
        assertFalse(b.signer.proved(new Statement("a", 1, List.of(), s.proof())));
    }

    @Test
    void aStatementsProofHoldsAfterItsWayThroughTheWire() throws WireException {
        Statement s = new Statement("a", 1, List.of(new Claim(3, Claim.Kind.FAILED, 0.333, 17.4, 6000)), new byte[0]);
        s = new Statement("a", 1, s.claims(), a.signer.prove(s));
        Codec codec = new Codec(LIMITS);
        byte[] bytes = codec.encode(new Message.Claims(List.of(s)));
        assertTrue(b.signer.proved(((Message.Claims) codec.decode(bytes, 0, bytes.length))
                .statements()
                .get(0)));
    }
}
