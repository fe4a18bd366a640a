package calicovale.gossip.wire;

import calicovale.protocols.keys.Ed25519;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Seals and opens the signed envelope around each message. The fields up to the certificate are at fixed positions,
 * and the position of the rest follows from the certificate's length. Nothing of an unauthenticated sender is parsed
 * other than these fields and, if its key is unknown, the certificate. A message is decoded only after its envelope was
 * accepted, that is, authenticated.
 *
 * <pre>
 *  0  'c' 'v'
 *  2  version (16 bits)
 *  4  length of the certificate (16 bits)
 *  6  key id
 * 14  epoch of the sender: start time of its process, ms since 1970
 * 22  sequence number in the epoch
 * 30  time of sending, ms since 1970
 * 38  certificate, may be empty
 * ..  signature (64 bytes)
 * ..  message
 * </pre>
 *
 * <p>The signature covers the group, the receiver, all fields before it and the message. A message therefore cannot be
 * redirected to another member or group, or be accepted twice.
 */
public final class Envelopes {
    /** Position of the certificate, in bytes. */
    private static final int CERTIFICATE_OFFSET = 38;
    /** Length of an envelope without a certificate and a message, in bytes. */
    public static final int OVERHEAD_BYTES = CERTIFICATE_OFFSET + Ed25519.SIGNATURE_BYTES;

    private static final int VERSION = 1;
    /** Upper bound of a certificate's length in an envelope, in bytes. */
    private static final int MAX_CERTIFICATE_BYTES = 256;

    /** Reason for which a message was dropped. The names are part of metrics. */
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
     * An accepted message with its authenticated sender.
     *
     * @param sender id of the sending member
     * @param keyId id of the key that signed the message
     * @param epoch start time of the sender's process, ms since 1970
     * @param sequence sequence number of the message in that epoch
     * @param messageOffset position of the message in the opened bytes
     */
    public record Opened(String sender, long keyId, long epoch, long sequence, int messageOffset) {
        /**
         * Returns the reference to this message, which is signed in a reply in place of the receiver's address.
         */
        public String reference() {
            return "re:" + Long.toHexString(keyId) + ":" + epoch + ":" + sequence;
        }
    }

    private final Roster roster;
    private final Signer signer;
    private final WireLimits limits;
    private final long epoch;
    private final ReplayGuard replays;
    private final Map<String, TokenBucket> knownSources = new LinkedHashMap<>();
    private final TokenBucket unknownSources;
    private final EnumMap<Drop, Long> drops = new EnumMap<>(Drop.class);
    private long sequence;

    /**
     * Creates the envelopes of one process of a member, told apart from its other processes by {@code epoch}, its start
     * time in ms since 1970.
     */
    public Envelopes(Roster roster, Signer signer, WireLimits limits, long epoch, double nowMs) {
        this.roster = roster;
        this.signer = signer;
        this.limits = limits;
        this.epoch = epoch;
        replays = new ReplayGuard(limits.maxSenders(), 2 * limits.maxClockSkewMs());
        unknownSources = new TokenBucket(limits.unknownSourceRatePerS(), nowMs);
        for (Drop reason : Drop.values()) {
            drops.put(reason, 0L);
        }
    }

    /** Returns the number of dropped messages by reason. */
    public Map<Drop, Long> drops() {
        return new EnumMap<>(drops);
    }

    private static byte[] signatureContext(String group, String receiver) {
        return ("calicovale-gossip-1\0" + group + "\0" + receiver + "\0").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns a signed envelope for a receiver, given as an address or as the reference of the message that this one
     * replies to.
     */
    public byte[] seal(double wallMs, String receiver, byte[] message, boolean withCertificate) {
        byte[] certificate = withCertificate ? signer.certificate() : new byte[0];
        ByteBuffer out = ByteBuffer.allocate(OVERHEAD_BYTES + certificate.length + message.length);
        out.put((byte) 'c').put((byte) 'v').putShort((short) VERSION);
        out.putShort((short) certificate.length)
                .putLong(signer.keyId())
                .putLong(epoch)
                .putLong(++sequence)
                .putLong((long) wallMs);
        out.put(certificate);
        byte[] head = Arrays.copyOf(out.array(), out.position());
        out.put(signer.sign(signatureContext(roster.group(), receiver), head, message))
                .put(message);
        return Arrays.copyOf(out.array(), out.position());
    }

    /** Returns the reference that a reply to a sealed envelope must be signed for. */
    public static String referenceOf(byte[] sealed) {
        ByteBuffer in = ByteBuffer.wrap(sealed, 6, 24);
        return new Opened("", in.getLong(), in.getLong(), in.getLong(), 0).reference();
    }

    private Opened drop(Drop reason) {
        drops.merge(reason, 1L, Long::sum);
        return null;
    }

    /**
     * Opens an envelope. Returns null if the message was dropped; the reason is counted.
     *
     * @param receiver the address that the sender must have sent to, or the reference of the message that this one
     *     replies to
     * @param source where the message came from; each key has a rate of its own at the sources from which its messages
     *     were verified, and all other sources share one rate, so that a flood from them does not block the messages of
     *     members
     */
    public Opened open(double nowMs, double wallMs, String receiver, String source, byte[] bytes, int length) {
        if (length < OVERHEAD_BYTES || bytes[0] != 'c' || bytes[1] != 'v') {
            return drop(Drop.MALFORMED);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 2, length - 2);
        if (in.getShort() != VERSION) {
            return drop(Drop.VERSION);
        }
        int certificateLength = in.getShort();
        long keyId = in.getLong();
        long senderEpoch = in.getLong();
        long senderSequence = in.getLong();
        long sentMs = in.getLong();
        if (certificateLength < 0
                || certificateLength > MAX_CERTIFICATE_BYTES
                || length < OVERHEAD_BYTES + certificateLength) {
            return drop(Drop.MALFORMED);
        }
        if (Math.abs(sentMs - wallMs) > limits.maxClockSkewMs()) {
            return drop(Drop.SKEWED);
        }
        Roster.Entry entry = roster.find(keyId, wallMs);
        if (entry == null) {
            if (!roster.usesCertificates() || certificateLength == 0) {
                return drop(Drop.UNKNOWN_KEY);
            }
            if (!unknownSources.take(nowMs)) {
                return drop(Drop.RATE);
            }
            Certificate certificate = Certificate.decode(
                    Arrays.copyOfRange(bytes, CERTIFICATE_OFFSET, CERTIFICATE_OFFSET + certificateLength));
            entry = certificate != null && Ed25519.keyId(certificate.key()) == keyId && roster.admit(certificate)
                    ? roster.find(keyId, wallMs)
                    : null;
            if (entry == null) {
                return drop(Drop.UNKNOWN_KEY);
            }
        }
        if (!replays.mayBeNew(keyId, senderEpoch, senderSequence)) {
            return drop(Drop.REPLAYED);
        }
        String sourceKey = Long.toHexString(keyId) + " " + source;
        TokenBucket sourceRate = knownSources.get(sourceKey);
        if (!(sourceRate == null ? unknownSources : sourceRate).take(nowMs)) {
            return drop(Drop.RATE);
        }
        int signatureOffset = CERTIFICATE_OFFSET + certificateLength;
        byte[] signature = Arrays.copyOfRange(bytes, signatureOffset, signatureOffset + Ed25519.SIGNATURE_BYTES);
        int messageOffset = signatureOffset + Ed25519.SIGNATURE_BYTES;
        if (messageOffset > length) {
            return drop(Drop.MALFORMED);
        }
        if (!Ed25519.verify(
                entry.key(),
                signature,
                signatureContext(roster.group(), receiver),
                Arrays.copyOf(bytes, signatureOffset),
                Arrays.copyOfRange(bytes, messageOffset, length))) {
            return drop(Drop.SIGNATURE);
        }
        if (!replays.accept(keyId, senderEpoch, senderSequence, nowMs)) {
            return drop(Drop.BOUND);
        }
        if (sourceRate == null) {
            // The source of a verified message has a rate of its own from now on.
            if (knownSources.size() >= 2 * limits.maxSenders()) {
                knownSources.remove(knownSources.entrySet().stream()
                        .min((first, second) -> Double.compare(
                                first.getValue().lastRefillMs(),
                                second.getValue().lastRefillMs()))
                        .orElseThrow()
                        .getKey());
            }
            knownSources.put(sourceKey, new TokenBucket(limits.knownSourceRatePerS(), nowMs));
        }
        return new Opened(entry.member(), keyId, senderEpoch, senderSequence, messageOffset);
    }
}
