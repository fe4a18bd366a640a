package calicovale.gossip.net;

import calicovale.gossip.claims.BoxOutcomes;
import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.ClaimEvaluator;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.claims.StatementStore;
import calicovale.gossip.member.Membership;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.wire.Certificate;
import calicovale.gossip.wire.Codec;
import calicovale.gossip.wire.Envelopes;
import calicovale.gossip.wire.MalformedMessageException;
import calicovale.gossip.wire.Roster;
import calicovale.gossip.wire.Signer;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.keys.Ed25519;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.Timer;
import calicovale.protocols.net.UdpSocket;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One member of a group within a process: its sockets on the event loop, its timers, and the flow of messages between
 * them and the membership and claims classes. All methods must be called on the loop's thread, except the constructor
 * and {@link #close()}.
 */
public final class GossipNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GossipNode.class);
    /** Name of this node's connections at the event loop. */
    public static final String CONNECTION = "gossip";
    /** Prefix of the names that stand for an address in replies over an accepted connection. */
    private static final String REPLY_PREFIX = "reply:";
    /**
     * Least change of a box's evidence that is reported again, in units of strength; a quarter of the smallest step
     * that changes a decision.
     */
    private static final double MIN_EVIDENCE_CHANGE = 0.05;

    /** Least delay of the timer in ms, also when something is due already. */
    private static final double MIN_TIMER_DELAY_MS = 1;
    /** Number of ports tried when the settings leave the port to the system. */
    private static final int MAX_BIND_ATTEMPTS = 20;

    /** Receives the group's evidence about boxes. */
    public interface Listener {
        /** Called when the evidence against a box has changed; a strength of 0 means that there is none any more. */
        void evidenceChanged(long box, double strength);
    }

    private record PendingReply(Connection connection, Envelopes.Opened request) {}

    private final EventLoop loop;
    private final GossipSettings settings;
    private final RandomGenerator random;
    private final Listener listener;
    private final Roster roster;
    private final Codec codec;
    private final ThreadPoolExecutor rosterReader;
    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, PendingReply> pendingReplies = new LinkedHashMap<>();
    private final Map<Long, Double> reportedEvidence = new TreeMap<>();
    private final BoxOutcomes outcomes;
    private KeyDocuments.MemberKeyPair keyPair;
    private RosterFolder.Contents rosterContents;
    private Signer signer;
    private Envelopes envelopes;
    private Membership membership;
    private StatementStore statementStore;
    private ClaimEvaluator claimEvaluator;
    private UdpSocket datagrams;
    private EventLoop.Listener connectionListener;
    private String localAddress;
    private NetworkConditions networkConditions = NetworkConditions.NO_FAULTS;
    private Timer timer;
    private double timerDueMs = Double.POSITIVE_INFINITY;
    private double nextClaimsMs;
    private double nextEvaluationMs;
    private int outgoingConnections;
    private int incomingConnections;
    private long lastReplyNumber;
    private boolean closed;

    /**
     * Reads the key file and the roster folder; opens no sockets.
     *
     * @param maxBoxes largest number of boxes with remembered outcomes
     * @throws InvalidDocumentException if the key file or the roster folder can't be used
     */
    public GossipNode(EventLoop loop, GossipSettings settings, RandomGenerator random, int maxBoxes, Listener listener)
            throws InvalidDocumentException {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
        this.listener = listener;
        roster = new Roster(
                settings.group(), settings.authority(), settings.wireLimits().maxSenders());
        codec = new Codec(settings.wireLimits());
        outcomes = new BoxOutcomes(settings.claims(), maxBoxes);
        claimEvaluator = new ClaimEvaluator(settings.claims(), settings.member(), maxBoxes);
        rosterReader = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(1), body -> {
            Thread thread = new Thread(body, "roster");
            thread.setDaemon(true);
            return thread;
        });
        keyPair = KeyDocuments.readKeyPair(settings.keyFile());
        if (!keyPair.member().equals(settings.member())) {
            throw new InvalidDocumentException(
                    List.of(settings.keyFile() + ": /member: " + settings.member() + " is expected"));
        }
        try {
            rosterContents = RosterFolder.read(
                    settings.rosterFolder(),
                    settings.authority(),
                    4 * settings.membership().maxMembers());
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(RosterFolder.unreadableFault(settings.rosterFolder(), e)));
        }
        applyRoster(List.of());
        if (roster.find(Ed25519.keyId(keyPair.publicKey()), loop.clock().millis()) == null) {
            throw new InvalidDocumentException(List.of(settings.rosterFolder() + ": /: "
                    + (settings.authority() == null ? "the key" : "a certificate, in force, of the key") + " of "
                    + settings.member() + " is expected"));
        }
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private double wallMs() {
        return loop.clock().millis();
    }

    private void count(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Opens the sockets and joins the group. Returns the bound address, the same for datagrams and connections. */
    public InetSocketAddress start() throws IOException {
        InetSocketAddress bound = bind();
        localAddress = formatAddress(bound);
        // The start time serves as the epoch of envelopes and as the first incarnation.
        long epoch = (long) wallMs();
        signer = new Signer(
                roster, this::wallMs, keyPair.privateKey(), keyPair.publicKey(), ownCertificate(keyPair.publicKey()));
        envelopes = new Envelopes(roster, signer, settings.wireLimits(), epoch, nowMs());
        membership = new Membership(
                settings.membership(),
                settings.member(),
                localAddress,
                epoch,
                settings.seeds(),
                random,
                new Membership.Transport() {
                    @Override
                    public void send(String address, Message message) {
                        GossipNode.this.send(address, message, message instanceof Message.PushPull);
                    }

                    @Override
                    public void sendReliably(String address, Message message) {
                        GossipNode.this.send(address, message, true);
                    }
                },
                signer,
                this::memberChanged);
        statementStore = new StatementStore(settings.claims(), settings.member(), signer);
        nextClaimsMs = nowMs();
        nextEvaluationMs = nowMs();
        membership.start(nowMs());
        loop.schedule(settings.rosterReadIntervalMs(), this::readKeysPeriodically);
        tickAndSchedule();
        LOG.atInfo()
                .addKeyValue("member", settings.member())
                .log("member {} of group {} listens at {}", settings.member(), settings.group(), localAddress);
        return bound;
    }

    /**
     * Binds both sockets to one port. When the system chooses the port for datagrams, the same port may be taken for
     * connections, so others are tried.
     */
    private InetSocketAddress bind() throws IOException {
        for (int attempt = 1; ; attempt++) {
            datagrams = loop.bindUdp(settings.listen(), this::onDatagram);
            InetSocketAddress bound = datagrams.address();
            try {
                connectionListener = loop.listen(bound, CONNECTION, this::accept);
                return bound;
            } catch (IOException e) {
                datagrams.close();
                if (settings.listen().getPort() != 0 || attempt >= MAX_BIND_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** Sets faults of the simulated network, for rehearsals. */
    public void setNetworkConditions(NetworkConditions conditions) {
        networkConditions = conditions;
    }

    // --- Keys ---

    private void applyRoster(List<String> loggedErrors) {
        roster.replaceListed(rosterContents.keys(), rosterContents.certificates(), rosterContents.revoked());
        rosterContents.errors().stream()
                .filter(error -> !loggedErrors.contains(error))
                .forEach(error -> LOG.warn("roster: {}", error));
    }

    private Certificate ownCertificate(byte[] key) {
        return rosterContents.certificates().stream()
                .filter(certificate -> Arrays.equals(certificate.key(), key)
                        && certificate.member().equals(settings.member())
                        && roster.usesCertificates()
                        && roster.admit(certificate))
                .max((first, second) -> Long.compare(first.untilMs(), second.untilMs()))
                .orElse(null);
    }

    /** Reads the roster folder and the key file on a thread of its own, because reading may block on the disk. */
    private void readKeysPeriodically() {
        if (closed) {
            return;
        }
        loop.schedule(settings.rosterReadIntervalMs(), this::readKeysPeriodically);
        try {
            rosterReader.execute(() -> {
                RosterFolder.Contents contents = null;
                KeyDocuments.MemberKeyPair newPair = null;
                String error = null;
                try {
                    contents = RosterFolder.read(
                            settings.rosterFolder(),
                            settings.authority(),
                            4 * settings.membership().maxMembers());
                    newPair = KeyDocuments.readKeyPair(settings.keyFile());
                } catch (IOException e) {
                    error = RosterFolder.unreadableFault(settings.rosterFolder(), e);
                } catch (InvalidDocumentException e) {
                    error = e.getMessage();
                }
                RosterFolder.Contents readContents = contents;
                KeyDocuments.MemberKeyPair readPair = newPair;
                String readError = error;
                try {
                    loop.execute(() -> applyKeys(readContents, readPair, readError));
                } catch (RejectedExecutionException e) {
                    LOG.debug(
                            "event loop has stopped or its mailbox is full; keys are read again at the next interval");
                }
            });
        } catch (RejectedExecutionException e) {
            count("roster-looks-skipped");
        }
    }

    private void applyKeys(RosterFolder.Contents contents, KeyDocuments.MemberKeyPair newPair, String error) {
        if (closed) {
            return;
        }
        if (error != null) {
            // What was read before stays in use, because an unreadable folder must not dissolve the group.
            count("roster-unreadable");
            LOG.warn(
                    "key file {} or roster folder {} could not be read; what was read before stays in use: {}",
                    settings.keyFile(),
                    settings.rosterFolder(),
                    error);
        }
        if (contents != null) {
            List<String> loggedErrors = rosterContents.errors();
            rosterContents = contents;
            applyRoster(loggedErrors);
        }
        if (newPair != null && !Arrays.equals(newPair.publicKey(), keyPair.publicKey())) {
            if (!newPair.member().equals(settings.member())
                    || roster.find(Ed25519.keyId(newPair.publicKey()), wallMs()) == null
                            && (!roster.usesCertificates() || ownCertificate(newPair.publicKey()) == null)) {
                count("keys-not-listed");
                if (!newPair.member().equals(settings.member())) {
                    LOG.warn(
                            "key file {} has a key of member {}, but one of member {} is expected; the old key stays "
                                    + "in use",
                            settings.keyFile(),
                            newPair.member(),
                            settings.member());
                } else {
                    LOG.warn(
                            "new key in {} has no valid entry or certificate for member {} in roster folder {}; the "
                                    + "old key stays in use",
                            settings.keyFile(),
                            settings.member(),
                            settings.rosterFolder());
                }
                return;
            }
            keyPair = newPair;
            signer.replaceKey(newPair.privateKey(), newPair.publicKey(), ownCertificate(newPair.publicKey()));
            // The others must soon stop relying on what the old key signed.
            membership.raiseIncarnation();
            count("keys-replaced");
            LOG.info("the new key from the key file is in use");
        }
    }

    // --- Time ---

    private void tickAndSchedule() {
        double nowMs = nowMs();
        double nextMs = Math.min(membership.tick(nowMs), Math.min(nextClaimsMs, nextEvaluationMs));
        if (closed || nextMs >= timerDueMs && timer != null) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timerDueMs = nextMs;
        timer = loop.schedule(Math.max(MIN_TIMER_DELAY_MS, nextMs - nowMs), () -> {
            timer = null;
            timerDueMs = Double.POSITIVE_INFINITY;
            processClaims();
            tickAndSchedule();
        });
    }

    private void processClaims() {
        double nowMs = nowMs();
        if (nowMs >= nextClaimsMs) {
            nextClaimsMs = nowMs + settings.membership().disseminationIntervalMs();
            statementStore.updateOwn(nowMs, wallMs(), outcomes.claims(nowMs));
            if (statementStore.hasPending()) {
                int maxTransmissions = (int) Math.ceil(
                        settings.membership().retransmitMultiplier() * Math.log10(membership.presentCount() + 1));
                for (String address :
                        membership.randomAddresses(settings.membership().disseminationFanout())) {
                    List<Statement> statements = statementStore.takeForMessage(maxTransmissions);
                    if (!statements.isEmpty()) {
                        send(address, new Message.Claims(statements), false);
                    }
                }
            }
        }
        if (nowMs >= nextEvaluationMs) {
            nextEvaluationMs = nowMs + settings.claims().evaluationIntervalMs();
            statementStore.expire(nowMs);
            evaluateClaims(nowMs);
        }
    }

    private void evaluateClaims(double nowMs) {
        Map<Long, Double> evidence =
                claimEvaluator.evidence(nowMs, membership.presentCount(), statementStore.statements());
        for (long box : List.copyOf(reportedEvidence.keySet())) {
            if (!evidence.containsKey(box)) {
                reportedEvidence.remove(box);
                count("evidence-ended");
                LOG.info("evidence against box {} has ended", box);
                listener.evidenceChanged(box, 0);
            }
        }
        evidence.forEach((box, strength) -> {
            Double reported = reportedEvidence.get(box);
            if (reported == null || Math.abs(reported - strength) >= MIN_EVIDENCE_CHANGE) {
                reportedEvidence.put(box, strength);
                if (reported == null) {
                    count("evidence-begun");
                    LOG.info("evidence against box {} has begun, strength {} (members' claims)", box, strength);
                }
                listener.evidenceChanged(box, strength);
            }
        });
    }

    /** Records the outcome of this member's set-up or delivery at a box; {@code kind} is null for a success. */
    public void recordOutcome(long box, Claim.Kind kind) {
        double nowMs = nowMs();
        outcomes.recordOutcome(nowMs, box, kind);
        // A short delivery is no outcome of a set-up, so it changes no reporter's weight.
        if (kind != Claim.Kind.SHORT) {
            claimEvaluator.recordOutcome(
                    nowMs, box, kind == null, statementStore == null ? List.of() : statementStore.statements());
            if (kind == null && reportedEvidence.containsKey(box)) {
                evaluateClaims(nowMs);
            }
        }
    }

    private void memberChanged(String id, State before, State after, long incarnation) {
        count("members-" + after.name().toLowerCase(Locale.ROOT));
        LOG.atInfo()
                .addKeyValue("member", id)
                .log("member {} is {} (before: {}), incarnation {}", id, after, before, incarnation);
        if (after == State.DEAD || after == State.LEFT) {
            statementStore.remove(id);
        }
    }

    // --- Messages out ---

    private static String formatAddress(InetSocketAddress address) {
        // Never the host name, which a lookup may have left in the address, because the signature covers the text.
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the address of a text {@code 127.b.c.d:port}, or null for any other text. Addresses come from other
     * members, so names are never looked up and only loopback is accepted.
     */
    static InetSocketAddress parseAddress(String text) {
        int[] parts = new int[5];
        int part = 0;
        int digits = 0;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character >= '0' && character <= '9' && digits < 5) {
                parts[part] = 10 * parts[part] + character - '0';
                digits++;
            } else if (digits > 0 && part < 4 && character == (part < 3 ? '.' : ':')) {
                part++;
                digits = 0;
            } else {
                return null;
            }
        }
        if (part < 4
                || digits == 0
                || parts[0] != 127
                || parts[1] > 255
                || parts[2] > 255
                || parts[3] > 255
                || parts[4] < 1
                || parts[4] > 65535) {
            return null;
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {127, (byte) parts[1], (byte) parts[2], (byte) parts[3]}),
                    parts[4]);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private void send(String receiver, Message message, boolean byConnection) {
        if (receiver.startsWith(REPLY_PREFIX)) {
            reply(receiver, message);
            return;
        }
        InetSocketAddress address = parseAddress(receiver);
        if (address == null) {
            count("addresses-refused");
            return;
        }
        double delayMs = networkConditions.delayMs(localAddress, receiver, byConnection);
        if (delayMs < 0) {
            return;
        }
        if (byConnection) {
            connect(receiver, address, message, delayMs);
            return;
        }
        byte[] bytes = encodeDatagram(receiver, message);
        if (bytes == null) {
            return;
        }
        count("sent");
        counters.merge("sent-bytes", (long) bytes.length, Long::sum);
        if (delayMs > 0) {
            loop.schedule(delayMs, () -> datagrams.send(address, ByteBuffer.wrap(bytes)));
        } else {
            datagrams.send(address, ByteBuffer.wrap(bytes));
        }
    }

    /**
     * Returns the datagram of a message, without the last updates or statements if it would be too long; null if it is
     * too long without them.
     */
    private byte[] encodeDatagram(String receiver, Message message) {
        Message shortened = message;
        byte[] body = codec.encode(shortened);
        while (Envelopes.OVERHEAD_BYTES + body.length > settings.wireLimits().maxDatagramBytes()) {
            count("datagrams-cut");
            shortened = withoutLastItem(shortened);
            if (shortened == null) {
                return null;
            }
            body = codec.encode(shortened);
        }
        return envelopes.seal(wallMs(), receiver, body, false);
    }

    private static Message withoutLastItem(Message message) {
        if (message instanceof Message.Claims claims) {
            return claims.statements().size() < 2
                    ? null
                    : new Message.Claims(
                            claims.statements().subList(0, claims.statements().size() - 1));
        }
        if (message.updates().isEmpty()) {
            return null;
        }
        List<Update> remaining = message.updates().subList(0, message.updates().size() - 1);
        if (message instanceof Message.Ping ping) {
            return new Message.Ping(ping.sequenceNumber(), ping.target(), remaining);
        } else if (message instanceof Message.PingReq pingReq) {
            return new Message.PingReq(pingReq.sequenceNumber(), pingReq.target(), pingReq.targetAddress(), remaining);
        } else if (message instanceof Message.Ack ack) {
            return new Message.Ack(ack.sequenceNumber(), remaining);
        } else if (message instanceof Message.Nack nack) {
            return new Message.Nack(nack.sequenceNumber(), remaining);
        } else if (message instanceof Message.Digest digest) {
            return new Message.Digest(digest.hash(), remaining);
        }
        return new Message.Dissemination(remaining);
    }

    private static ByteBuffer frame(byte[] sealed) {
        return ByteBuffer.allocate(4 + sealed.length)
                .putInt(sealed.length)
                .put(sealed)
                .flip();
    }

    private void connect(String receiver, InetSocketAddress address, Message message, double delayMs) {
        if (outgoingConnections >= settings.maxConnections()) {
            count("connections-out-hit");
            return;
        }
        outgoingConnections++;
        byte[] sealed = envelopes.seal(wallMs(), receiver, codec.encode(message), true);
        count("connected");
        counters.merge("sent-bytes", (long) sealed.length, Long::sum);
        loop.schedule(
                delayMs,
                () -> loop.connect(
                        address,
                        CONNECTION,
                        settings.connectionTimeoutMs(),
                        new FrameConnection(Envelopes.referenceOf(sealed), receiver, false) {
                            @Override
                            public void onOpen(Connection connection) {
                                connection.write(frame(sealed));
                                startTimeout(connection);
                            }

                            @Override
                            public void onClosed(Connection connection, IOException cause) {
                                super.onClosed(connection, cause);
                                outgoingConnections--;
                            }
                        }));
    }

    private void reply(String replyAddress, Message message) {
        PendingReply reply = pendingReplies.remove(replyAddress);
        if (reply == null) {
            return;
        }
        byte[] sealed = envelopes.seal(wallMs(), reply.request().reference(), codec.encode(message), true);
        counters.merge("sent-bytes", (long) sealed.length, Long::sum);
        reply.connection().write(frame(sealed));
        reply.connection().closeWhenDrained();
    }

    // --- Messages in ---

    private void onDatagram(InetSocketAddress sender, ByteBuffer bytes) {
        count("received");
        if (closed || bytes.remaining() > settings.wireLimits().maxDatagramBytes()) {
            count("dropped-too-long");
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        Envelopes.Opened opened =
                envelopes.open(nowMs(), wallMs(), localAddress, formatAddress(sender), copy, copy.length);
        if (opened != null) {
            handleMessage(formatAddress(sender), opened, copy);
        }
    }

    private void handleMessage(String senderAddress, Envelopes.Opened opened, byte[] bytes) {
        Message message;
        try {
            message = codec.decode(bytes, opened.messageOffset(), bytes.length - opened.messageOffset());
        } catch (MalformedMessageException e) {
            count("messages-malformed");
            LOG.warn("malformed message from member {}: {}", opened.sender(), e.getMessage());
            return;
        }
        if (message instanceof Message.Claims claims) {
            for (Statement statement : claims.statements()) {
                // Statements of members that have left the group, or have not joined yet, do not count.
                State reporterState = membership.state(statement.reporter());
                boolean present = reporterState == State.ALIVE || reporterState == State.SUSPECT;
                if (present && statementStore.accept(nowMs(), wallMs(), statement)) {
                    count("statements-taken");
                }
            }
        } else {
            membership.receive(nowMs(), senderAddress, message);
        }
        tickAndSchedule();
    }

    private Connection.Handler accept(Connection connection) {
        if (closed || incomingConnections >= settings.maxConnections()) {
            count("connections-in-hit");
            return null;
        }
        incomingConnections++;
        return new FrameConnection(localAddress, null, true) {
            @Override
            public void onOpen(Connection opened) {
                startTimeout(opened);
            }

            @Override
            public void onClosed(Connection closedConnection, IOException cause) {
                super.onClosed(closedConnection, cause);
                incomingConnections--;
            }
        };
    }

    /** One connection. It carries a frame in one direction and possibly a reply frame back. */
    private class FrameConnection implements Connection.Handler {
        private final String expectedReceiver;
        private final String peerAddress;
        private final boolean accepted;
        private final String replyAddress = REPLY_PREFIX + ++lastReplyNumber;
        private byte[] frame;
        private final ByteBuffer lengthPrefix = ByteBuffer.allocate(4);
        private int receivedBytes;
        private boolean complete;
        private Timer timeout;

        FrameConnection(String expectedReceiver, String peerAddress, boolean accepted) {
            this.expectedReceiver = expectedReceiver;
            this.peerAddress = peerAddress;
            this.accepted = accepted;
        }

        void startTimeout(Connection connection) {
            timeout = loop.schedule(settings.connectionTimeoutMs(), () -> {
                count("connections-timed-out");
                connection.close();
            });
        }

        @Override
        public void onBytes(Connection connection, ByteBuffer bytes) {
            while (bytes.hasRemaining() && !complete) {
                if (lengthPrefix.hasRemaining()) {
                    lengthPrefix.put(bytes.get());
                    if (!lengthPrefix.hasRemaining()) {
                        int size = lengthPrefix.getInt(0);
                        if (size < Envelopes.OVERHEAD_BYTES
                                || size > settings.wireLimits().maxFrameBytes()) {
                            count("frames-refused");
                            connection.close();
                            return;
                        }
                        // Memory for the declared length is allocated only as the bytes arrive.
                        frame = new byte[Math.min(size, 4096)];
                    }
                } else {
                    int size = lengthPrefix.getInt(0);
                    if (receivedBytes == frame.length) {
                        frame = Arrays.copyOf(frame, Math.min(size, 2 * frame.length));
                    }
                    int copied = Math.min(bytes.remaining(), frame.length - receivedBytes);
                    bytes.get(frame, receivedBytes, copied);
                    receivedBytes += copied;
                    if (receivedBytes == size) {
                        complete = true;
                        onFrame(connection);
                    }
                }
            }
            bytes.position(bytes.limit());
        }

        private void onFrame(Connection connection) {
            InetSocketAddress remote = connection.remoteAddress();
            count("received");
            Envelopes.Opened opened = remote == null
                    ? null
                    : envelopes.open(
                            nowMs(),
                            wallMs(),
                            expectedReceiver,
                            "connection " + remote.getAddress().getHostAddress(),
                            frame,
                            receivedBytes);
            if (opened == null) {
                connection.close();
                return;
            }
            if (accepted) {
                pendingReplies.put(replyAddress, new PendingReply(connection, opened));
                handleMessage(
                        replyAddress,
                        opened,
                        frame.length == receivedBytes ? frame : Arrays.copyOf(frame, receivedBytes));
            } else {
                handleMessage(
                        peerAddress,
                        opened,
                        frame.length == receivedBytes ? frame : Arrays.copyOf(frame, receivedBytes));
                connection.close();
            }
        }

        @Override
        public void onClosed(Connection connection, IOException cause) {
            pendingReplies.remove(replyAddress);
            if (timeout != null) {
                timeout.cancel();
            }
        }
    }

    // --- Status and counters ---

    /** Returns the counters by name. */
    public Map<String, Long> counters() {
        Map<String, Long> result = new TreeMap<>(counters);
        if (envelopes == null) {
            // Not started yet.
            return result;
        }
        envelopes
                .drops()
                .forEach((reason, number) -> result.put(
                        "dropped-" + reason.name().toLowerCase(Locale.ROOT).replace('_', '-'), number));
        result.put("updates-unproved", membership.rejectedUpdates());
        result.put("members-over-bound", membership.rejectedOverBound());
        result.put("statements-refused", statementStore.rejected());
        result.put("claims-contradicted", claimEvaluator.contradictions());
        result.put("boxes-over-bound", outcomes.rejectedOverBound());
        return result;
    }

    /** Returns this member's view of the group and of the claims on boxes, as a status document. */
    public ObjectNode view() {
        ObjectNode view = Documents.MAPPER
                .createObjectNode()
                .put("schema", "calicovale/members/1")
                .put("group", settings.group())
                .put("member", settings.member())
                .put("address", localAddress)
                .put("health", membership.health())
                .put("present", membership.presentCount())
                .put("quorum", settings.claims().quorum(membership.presentCount()));
        ArrayNode members = view.putArray("members");
        for (Membership.Member member : membership.members()) {
            members.addObject()
                    .put("id", member.id())
                    .put("address", member.address())
                    .put("state", member.state().name().toLowerCase(Locale.ROOT))
                    .put("incarnation", member.incarnation())
                    .put("sinceS", Math.round((nowMs() - member.sinceMs()) / 100) / 10.0)
                    .put("voice", Math.round(100 * claimEvaluator.reporterWeight(member.id(), nowMs())) / 100.0);
        }
        ArrayNode claims = view.putArray("claims");
        for (StatementStore.StoredStatement stored : statementStore.statements()) {
            for (Claim claim : stored.statement().claims()) {
                if (nowMs() - stored.receivedMs() < claim.validityMs()) {
                    claims.addObject()
                            .put("box", claim.box())
                            .put("by", stored.statement().reporter())
                            .put("kind", claim.kind().name().toLowerCase(Locale.ROOT))
                            .put("strength", claim.strength())
                            .put("seenS", Math.round((nowMs() - stored.receivedMs() + claim.ageMs()) / 100) / 10.0);
                }
            }
        }
        ObjectNode evidence = view.putObject("evidence");
        reportedEvidence.forEach(
                (box, strength) -> evidence.put(Long.toString(box), Math.round(100 * strength) / 100.0));
        ObjectNode countersNode = view.putObject("counters");
        counters().forEach(countersNode::put);
        return view;
    }

    /** Returns the membership, for tests and measurements. */
    public Membership membership() {
        return membership;
    }

    /** Returns the address at which this member is reached, or null before the start. */
    public String address() {
        return localAddress;
    }

    /** Leaves the group on purpose; the sockets stay open until {@link #close()}. */
    public void leave() {
        if (membership != null) {
            membership.leave(nowMs());
        }
    }

    /** Closes the sockets and stops reading keys. To be called on the loop's thread, or once the loop has ended. */
    @Override
    public void close() {
        closed = true;
        rosterReader.shutdownNow();
        if (datagrams != null && loop.inLoop()) {
            datagrams.close();
            connectionListener.close();
        }
        if (timer != null && loop.inLoop()) {
            timer.cancel();
        }
    }
}
