package calicovale.gossip.wire;

import calicovale.protocols.keys.Ed25519;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Owns the envelope around every message, and what is dropped by it before the message itself is looked at: its places are
 * fixed, so nothing of a stranger's is parsed.
 *
 * <pre>
 * 0  'c' 'v'                    14  life, ms          38  certificate
 * 2  version (16 bits)          22  sequence          ..  signature (64)
 * 4  certificate's length (16)  30  time, ms          ..  message
 * 6  key id
 * </pre>
 *
 * <p>The signature is over the group, whom it is for, all that stands before it and the message. So a message can't be led to
 * another member, into another group, or be taken twice.
 */
public final class Envelopes {
    /** Where the certificate begins. */
    private static final int CERTIFICATE = 38;
    /** Bytes of an envelope without a certificate. */
    public static final int HEAD = CERTIFICATE + Ed25519.SIGNATURE_BYTES;

    private static final int VERSION = 1;
    private static final int MOST_CERTIFICATE = 256;

    /** Why a message was dropped. */
    public enum Drop {
        MALFORMED,
        VERSION,
        UNKNOWN_KEY,
        SKEWED,
        REPLAYED,
        RATE,
        SIGNATURE,
        BOUND
    }

    /**
     * A message whose sender is certain.
     *
     * @param sender the member
     * @param keyId by which it signed
     * @param life of the sender
     * @param sequence in that life
     * @param from first byte of the message in what was opened
     */
    public record Opened(String sender, long keyId, long life, long sequence, int from) {
        /** What an answer to it is bound to, in place of an address. */
        public String reference() {
            return "re:" + Long.toHexString(keyId) + ":" + life + ":" + sequence;
        }
    }

    private final Roster roster;
    private final Signer signer;
    private final WireLimits limits;
    private final long life;
    private final ReplayGuard replays;
    private final Map<String, TokenBucket> homes = new LinkedHashMap<>();
    private final TokenBucket strangers;
    private final EnumMap<Drop, Long> drops = new EnumMap<>(Drop.class);
    private long sequence;

    /** For one life of a member, told apart from its others by its begin in ms. */
    public Envelopes(Roster roster, Signer signer, WireLimits limits, long life, double nowMs) {
        this.roster = roster;
        this.signer = signer;
        this.limits = limits;
        this.life = life;
        replays = new ReplayGuard(limits.membersMost(), 2 * limits.skewMs());
        strangers = new TokenBucket(limits.strangers(), nowMs);
        for (Drop d : Drop.values()) {
            drops.put(d, 0L);
        }
    }

    /** Messages dropped, by reason. */
    public Map<Drop, Long> drops() {
        return new EnumMap<>(drops);
    }

    private static byte[] context(String group, String to) {
        return ("calicovale-gossip-1\0" + group + "\0" + to + "\0").getBytes(StandardCharsets.UTF_8);
    }

    /** An envelope for a receiver's address, or for what an answer refers to. */
    public byte[] seal(double wallMs, String to, byte[] message, boolean certified) {
        byte[] certificate = certified ? signer.certificate() : new byte[0];
        ByteBuffer out = ByteBuffer.allocate(HEAD + certificate.length + message.length);
        out.put((byte) 'c').put((byte) 'v').putShort((short) VERSION);
        out.putShort((short) certificate.length)
                .putLong(signer.keyId())
                .putLong(life)
                .putLong(++sequence)
                .putLong((long) wallMs);
        out.put(certificate);
        byte[] head = Arrays.copyOf(out.array(), out.position());
        out.put(signer.sign(context(roster.group(), to), head, message)).put(message);
        return Arrays.copyOf(out.array(), out.position());
    }

    /** What an answer to a sealed envelope is bound to. */
    public static String referenceOf(byte[] sealed) {
        ByteBuffer in = ByteBuffer.wrap(sealed, 6, 24);
        return new Opened("", in.getLong(), in.getLong(), in.getLong(), 0).reference();
    }

    private Opened drop(Drop why) {
        drops.merge(why, 1L, Long::sum);
        return null;
    }

    /**
     * Opens an envelope; null if it was dropped, and counted.
     *
     * @param here the address that the sender must have meant, or the reference of the message that this answers
     * @param source where it came from; floods from elsewhere than where a key is at home have a rate of their own
     */
    public Opened open(double nowMs, double wallMs, String here, String source, byte[] bytes, int length) {
        if (length < HEAD || bytes[0] != 'c' || bytes[1] != 'v') {
            return drop(Drop.MALFORMED);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 2, length - 2);
        if (in.getShort() != VERSION) {
            return drop(Drop.VERSION);
        }
        int certificate = in.getShort();
        long keyId = in.getLong();
        long itsLife = in.getLong();
        long itsSequence = in.getLong();
        long time = in.getLong();
        if (certificate < 0 || certificate > MOST_CERTIFICATE || length < HEAD + certificate) {
            return drop(Drop.MALFORMED);
        }
        if (Math.abs(time - wallMs) > limits.skewMs()) {
            return drop(Drop.SKEWED);
        }
        Roster.Entry entry = roster.of(keyId, wallMs);
        if (entry == null) {
            if (!roster.certifies() || certificate == 0) {
                return drop(Drop.UNKNOWN_KEY);
            }
            if (!strangers.take(nowMs)) {
                return drop(Drop.RATE);
            }
            Certificate c = Certificate.of(Arrays.copyOfRange(bytes, CERTIFICATE, CERTIFICATE + certificate));
            entry = c != null && Ed25519.keyId(c.key()) == keyId && roster.admit(c) ? roster.of(keyId, wallMs) : null;
            if (entry == null) {
                return drop(Drop.UNKNOWN_KEY);
            }
        }
        if (!replays.fresh(keyId, itsLife, itsSequence)) {
            return drop(Drop.REPLAYED);
        }
        String place = Long.toHexString(keyId) + " " + source;
        TokenBucket home = homes.get(place);
        if (!(home == null ? strangers : home).take(nowMs)) {
            return drop(Drop.RATE);
        }
        int head = CERTIFICATE + certificate;
        byte[] signature = Arrays.copyOfRange(bytes, head, head + Ed25519.SIGNATURE_BYTES);
        int from = head + Ed25519.SIGNATURE_BYTES;
        if (from > length) {
            return drop(Drop.MALFORMED);
        }
        if (!Ed25519.verify(
                entry.key(),
                signature,
                context(roster.group(), here),
                Arrays.copyOf(bytes, head),
                Arrays.copyOfRange(bytes, from, length))) {
            return drop(Drop.SIGNATURE);
        }
        if (!replays.took(keyId, itsLife, itsSequence, nowMs)) {
            return drop(Drop.BOUND);
        }
        if (home == null) {
            // the place where a verified message came from has a rate of its own from now on
            if (homes.size() >= 2 * limits.membersMost()) {
                homes.remove(homes.entrySet().stream()
                        .min((a, b) -> Double.compare(
                                a.getValue().lastMs(), b.getValue().lastMs()))
                        .orElseThrow()
                        .getKey());
            }
            homes.put(place, new TokenBucket(limits.perPeer(), nowMs));
        }
        return new Opened(entry.member(), keyId, itsLife, itsSequence, from);
    }
}
