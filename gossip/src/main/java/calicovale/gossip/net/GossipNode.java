package calicovale.gossip.net;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.ClaimBook;
import calicovale.gossip.claims.Judge;
import calicovale.gossip.claims.Outcomes;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.member.Membership;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.wire.Certificate;
import calicovale.gossip.wire.Codec;
import calicovale.gossip.wire.Envelopes;
import calicovale.gossip.wire.Roster;
import calicovale.gossip.wire.Signer;
import calicovale.gossip.wire.WireException;
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
 * Owns one member of a group in a process: its sockets on the loop, its timers, and the way of each message between them and the
 * classes that decide. All calls are made on the loop's thread, but for the constructor and {@link #close()}.
 */
public final class GossipNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GossipNode.class);
    /** What its connections are called at the loop. */
    public static final String CONNECTION = "gossip";
    /** Names, in place of an address, of the connections by which messages came. */
    private static final String REPLY = "reply:";
    /** By how much an evidence must change to be told again: a quarter of the least step that changes a decision. */
    private static final double TOLD_AGAIN = 0.05;

    private static final double LEAST_WAIT_MS = 1;
    /** Ports tried where any will do. */
    private static final int MOST_BINDS = 20;

    /** Hears what the group says of boxes. */
    public interface Listener {
        /** The evidence against a box is another now; 0: there is none any more. */
        void evidence(long box, double strength);
    }

    private record Reply(Connection connection, Envelopes.Opened to) {}

    private final EventLoop loop;
    private final GossipSettings settings;
    private final RandomGenerator random;
    private final Listener listener;
    private final Roster roster;
    private final Codec codec;
    private final ThreadPoolExecutor disk;
    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<String, Reply> replies = new LinkedHashMap<>();
    private final Map<Long, Double> told = new TreeMap<>();
    private final Outcomes outcomes;
    private KeyDocuments.Pair pair;
    private RosterFolder.Reading reading;
    private Signer signer;
    private Envelopes envelopes;
    private Membership membership;
    private ClaimBook book;
    private Judge judge;
    private UdpSocket datagrams;
    private EventLoop.Listener connections;
    private String here;
    private Weather weather = Weather.FAIR;
    private Timer timer;
    private double dueMs = Double.POSITIVE_INFINITY;
    private double claimsAtMs;
    private double believedAtMs;
    private int outgoing;
    private int incoming;
    private long references;
    private boolean closed;

    /**
     * Reads key and roster.
     *
     * @param boxesMost boxes of which outcomes are remembered
     * @throws InvalidDocumentException if the key file or the roster's folder can't be used
     */
    public GossipNode(EventLoop loop, GossipSettings settings, RandomGenerator random, int boxesMost, Listener listener)
            throws InvalidDocumentException {
        this.loop = loop;
        this.settings = settings;
        this.random = random;
        this.listener = listener;
        roster = new Roster(
                settings.group(), settings.authority(), settings.wire().membersMost());
        codec = new Codec(settings.wire());
        outcomes = new Outcomes(settings.claims(), boxesMost);
        judge = new Judge(settings.claims(), settings.member(), boxesMost);
        disk = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(1), body -> {
            Thread thread = new Thread(body, "roster");
            thread.setDaemon(true);
            return thread;
        });
        pair = KeyDocuments.pair(settings.keyFile());
        if (!pair.member().equals(settings.member())) {
            throw new InvalidDocumentException(
                    List.of(settings.keyFile() + ": /member: " + settings.member() + " is expected"));
        }
        try {
            reading = RosterFolder.read(
                    settings.rosterFolder(),
                    settings.authority(),
                    4 * settings.members().membersMost());
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(settings.rosterFolder() + ": /: a readable folder is expected"));
        }
        list(List.of());
        if (roster.of(Ed25519.keyId(pair.publicKey()), loop.clock().millis()) == null) {
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
        counts.merge(name, 1L, Long::sum);
    }

    /** Opens the sockets and joins; the address bound, for datagrams and connections alike. */
    public InetSocketAddress start() throws IOException {
        InetSocketAddress at = bind();
        here = text(at);
        long life = (long) wallMs();
        signer =
                new Signer(roster, this::wallMs, pair.privateKey(), pair.publicKey(), ownCertificate(pair.publicKey()));
        envelopes = new Envelopes(roster, signer, settings.wire(), life, nowMs());
        membership = new Membership(
                settings.members(),
                settings.member(),
                here,
                life,
                settings.seeds(),
                random,
                new Membership.Wire() {
                    @Override
                    public void send(String address, Message message) {
                        GossipNode.this.send(address, message, message instanceof Message.Exchange);
                    }

                    @Override
                    public void sendReliably(String address, Message message) {
                        GossipNode.this.send(address, message, true);
                    }
                },
                signer,
                this::changed);
        book = new ClaimBook(settings.claims(), settings.member(), signer);
        claimsAtMs = nowMs();
        believedAtMs = nowMs();
        membership.start(nowMs());
        loop.schedule(settings.rosterMs(), this::lookAtKeys);
        due();
        LOG.atInfo()
                .addKeyValue("member", settings.member())
                .log("member {} of group {} at {}", settings.member(), settings.group(), here);
        return at;
    }

    /** Binds both sockets to one port; where any will do, the one that the system gives for datagrams may be taken for connections. */
    private InetSocketAddress bind() throws IOException {
        for (int tries = 1; ; tries++) {
            datagrams = loop.bindUdp(settings.listen(), this::onDatagram);
            InetSocketAddress at = datagrams.address();
            try {
                connections = loop.listen(at, CONNECTION, this::accept);
                return at;
            } catch (IOException e) {
                datagrams.close();
                if (settings.listen().getPort() != 0 || tries >= MOST_BINDS) {
                    throw e;
                }
            }
        }
    }

    /** Sets what the network does to messages: for rehearsals. */
    public void weather(Weather next) {
        weather = next;
    }

    // --- Keys ---

    private void list(List<String> faultsKnown) {
        roster.list(reading.keys(), reading.certificates(), reading.revoked());
        reading.faults().stream()
                .filter(fault -> !faultsKnown.contains(fault))
                .forEach(fault -> LOG.warn("roster: {}", fault));
    }

    private Certificate ownCertificate(byte[] key) {
        return reading.certificates().stream()
                .filter(c -> Arrays.equals(c.key(), key)
                        && c.member().equals(settings.member())
                        && roster.certifies()
                        && roster.admit(c))
                .max((a, b) -> Long.compare(a.untilMs(), b.untilMs()))
                .orElse(null);
    }

    /** A look at folder and key file, by a thread that may wait for the disk. */
    private void lookAtKeys() {
        if (closed) {
            return;
        }
        loop.schedule(settings.rosterMs(), this::lookAtKeys);
        try {
            disk.execute(() -> {
                RosterFolder.Reading next = null;
                KeyDocuments.Pair nextPair = null;
                String fault = null;
                try {
                    next = RosterFolder.read(
                            settings.rosterFolder(),
                            settings.authority(),
                            4 * settings.members().membersMost());
                    nextPair = KeyDocuments.pair(settings.keyFile());
                } catch (IOException | InvalidDocumentException e) {
                    fault = e.getMessage();
                }
                RosterFolder.Reading found = next;
                KeyDocuments.Pair key = nextPair;
                String why = fault;
                try {
                    loop.execute(() -> foundKeys(found, key, why));
                } catch (RejectedExecutionException e) {
                    LOG.debug("the loop ended or is full: the next look tells");
                }
            });
        } catch (RejectedExecutionException e) {
            count("roster-looks-skipped");
        }
    }

    private void foundKeys(RosterFolder.Reading next, KeyDocuments.Pair key, String fault) {
        if (closed) {
            return;
        }
        if (fault != null) {
            // what was read last holds on: a folder that can't be read must not dissolve the group
            count("roster-unreadable");
            LOG.warn("keys can't be read: {}", fault);
        }
        if (next != null) {
            List<String> known = reading.faults();
            reading = next;
            list(known);
        }
        if (key != null && !Arrays.equals(key.publicKey(), pair.publicKey())) {
            if (!key.member().equals(settings.member())
                    || roster.of(Ed25519.keyId(key.publicKey()), wallMs()) == null
                            && (!roster.certifies() || ownCertificate(key.publicKey()) == null)) {
                count("keys-not-listed");
                LOG.warn(
                        "the key file's new key is not of {} in the roster: the old one stays in use",
                        settings.member());
                return;
            }
            pair = key;
            signer.use(key.privateKey(), key.publicKey(), ownCertificate(key.publicKey()));
            // what the old key signed may not be believed for long
            membership.renew();
            count("keys-replaced");
            LOG.info("a new key is in use");
        }
    }

    // --- Time ---

    private void due() {
        double now = nowMs();
        double next = Math.min(membership.tick(now), Math.min(claimsAtMs, believedAtMs));
        if (closed || next >= dueMs && timer != null) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        dueMs = next;
        timer = loop.schedule(Math.max(LEAST_WAIT_MS, next - now), () -> {
            timer = null;
            dueMs = Double.POSITIVE_INFINITY;
            claims();
            due();
        });
    }

    private void claims() {
        double now = nowMs();
        if (now >= claimsAtMs) {
            claimsAtMs = now + settings.members().newsMs();
            book.say(now, wallMs(), outcomes.claims(now));
            if (book.spreads()) {
                int times = (int) Math.ceil(settings.members().retransmitMult() * Math.log10(membership.present() + 1));
                for (String to : membership.someAddresses(settings.members().newsTo())) {
                    List<Statement> some = book.take(times);
                    if (!some.isEmpty()) {
                        send(to, new Message.Claims(some), false);
                    }
                }
            }
        }
        if (now >= believedAtMs) {
            believedAtMs = now + settings.claims().believedMs();
            book.expire(now);
            believe(now);
        }
    }

    private void believe(double now) {
        Map<Long, Double> evidence = judge.evidence(now, membership.present(), book.held());
        for (long box : List.copyOf(told.keySet())) {
            if (!evidence.containsKey(box)) {
                told.remove(box);
                count("evidence-ended");
                LOG.info("members' claims on box {} hold no more", box);
                listener.evidence(box, 0);
            }
        }
        evidence.forEach((box, strength) -> {
            Double before = told.get(box);
            if (before == null || Math.abs(before - strength) >= TOLD_AGAIN) {
                told.put(box, strength);
                if (before == null) {
                    count("evidence-begun");
                    LOG.info("members' claims on box {} are believed, strength {}", box, strength);
                }
                listener.evidence(box, strength);
            }
        });
    }

    /** This member saw a set-up or a delivery at a box; {@code kind} null: it was well. */
    public void saw(long box, Claim.Kind kind) {
        double now = nowMs();
        outcomes.saw(now, box, kind);
        if (kind != Claim.Kind.SHORT) {
            judge.saw(now, box, kind == null, book == null ? List.of() : book.held());
            if (kind == null && told.containsKey(box)) {
                believe(now);
            }
        }
    }

    private void changed(String id, State before, State now, long incarnation) {
        count("members-" + now.name().toLowerCase(Locale.ROOT));
        LOG.atInfo()
                .addKeyValue("member", id)
                .log("member {} is {} (before: {}), incarnation {}", id, now, before, incarnation);
        if (now == State.DEAD || now == State.LEFT) {
            book.forget(id);
        }
    }

    // --- Messages out ---

    private static String text(InetSocketAddress a) {
        // never the host's name, which some lookup may have left in the address: it is part of what is signed
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** The address of a text, or null: others tell addresses, so only numbers are read, never a name looked up, and only loopback. */
    static InetSocketAddress address(String text) {
        int[] parts = new int[5];
        int part = 0;
        int digits = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= '0' && c <= '9' && digits < 5) {
                parts[part] = 10 * parts[part] + c - '0';
                digits++;
            } else if (digits > 0 && part < 4 && c == (part < 3 ? '.' : ':')) {
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

    private void send(String to, Message message, boolean connection) {
        if (to.startsWith(REPLY)) {
            reply(to, message);
            return;
        }
        InetSocketAddress address = address(to);
        if (address == null) {
            count("addresses-refused");
            return;
        }
        double delay = weather.delayMs(here, to, connection);
        if (delay < 0) {
            return;
        }
        if (connection) {
            connect(to, address, message, delay);
            return;
        }
        byte[] bytes = datagram(to, message);
        if (bytes == null) {
            return;
        }
        count("sent");
        counts.merge("sent-bytes", (long) bytes.length, Long::sum);
        if (delay > 0) {
            loop.schedule(delay, () -> datagrams.send(address, ByteBuffer.wrap(bytes)));
        } else {
            datagrams.send(address, ByteBuffer.wrap(bytes));
        }
    }

    /** One datagram's bytes: what does not fit stays out. */
    private byte[] datagram(String to, Message message) {
        Message m = message;
        byte[] body = codec.encode(m);
        while (Envelopes.HEAD + body.length > settings.wire().datagramBytes()) {
            count("datagrams-cut");
            m = shorter(m);
            if (m == null) {
                return null;
            }
            body = codec.encode(m);
        }
        return envelopes.seal(wallMs(), to, body, false);
    }

    private static Message shorter(Message m) {
        if (m instanceof Message.Claims c) {
            return c.statements().size() < 2
                    ? null
                    : new Message.Claims(
                            c.statements().subList(0, c.statements().size() - 1));
        }
        if (m.updates().isEmpty()) {
            return null;
        }
        List<Update> rest = m.updates().subList(0, m.updates().size() - 1);
        if (m instanceof Message.Ping x) {
            return new Message.Ping(x.number(), x.target(), rest);
        } else if (m instanceof Message.PingReq x) {
            return new Message.PingReq(x.number(), x.target(), x.targetAddress(), rest);
        } else if (m instanceof Message.Ack x) {
            return new Message.Ack(x.number(), rest);
        } else if (m instanceof Message.Nack x) {
            return new Message.Nack(x.number(), rest);
        } else if (m instanceof Message.Digest x) {
            return new Message.Digest(x.sum(), rest);
        }
        return new Message.News(rest);
    }

    private static ByteBuffer frame(byte[] sealed) {
        return ByteBuffer.allocate(4 + sealed.length)
                .putInt(sealed.length)
                .put(sealed)
                .flip();
    }

    private void connect(String to, InetSocketAddress address, Message message, double delay) {
        if (outgoing >= settings.connections()) {
            count("connections-out-hit");
            return;
        }
        outgoing++;
        byte[] sealed = envelopes.seal(wallMs(), to, codec.encode(message), true);
        count("connected");
        counts.merge("sent-bytes", (long) sealed.length, Long::sum);
        loop.schedule(
                delay,
                () -> loop.connect(
                        address,
                        CONNECTION,
                        settings.connectionMs(),
                        new Stream(Envelopes.referenceOf(sealed), to, false) {
                            @Override
                            public void onOpen(Connection c) {
                                c.write(frame(sealed));
                                limit(c);
                            }

                            @Override
                            public void onClosed(Connection c, IOException cause) {
                                super.onClosed(c, cause);
                                outgoing--;
                            }
                        }));
    }

    private void reply(String to, Message message) {
        Reply reply = replies.remove(to);
        if (reply == null) {
            return;
        }
        byte[] sealed = envelopes.seal(wallMs(), reply.to().reference(), codec.encode(message), true);
        counts.merge("sent-bytes", (long) sealed.length, Long::sum);
        reply.connection().write(frame(sealed));
        reply.connection().closeWhenDrained();
    }

    // --- Messages in ---

    private void onDatagram(InetSocketAddress from, ByteBuffer bytes) {
        count("received");
        if (closed || bytes.remaining() > settings.wire().datagramBytes()) {
            count("dropped-too-long");
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        Envelopes.Opened o = envelopes.open(nowMs(), wallMs(), here, text(from), copy, copy.length);
        if (o != null) {
            take(text(from), o, copy);
        }
    }

    private void take(String address, Envelopes.Opened o, byte[] bytes) {
        Message message;
        try {
            message = codec.decode(bytes, o.from(), bytes.length - o.from());
        } catch (WireException e) {
            count("messages-malformed");
            LOG.warn("member {} sent no message: {}", o.sender(), e.getMessage());
            return;
        }
        if (message instanceof Message.Claims claims) {
            for (Statement s : claims.statements()) {
                // one that is not a member any more, or not yet, has no voice
                State state = membership.state(s.from());
                boolean present = state == State.ALIVE || state == State.SUSPECT;
                if (present && book.take(nowMs(), wallMs(), s)) {
                    count("statements-taken");
                }
            }
        } else {
            membership.receive(nowMs(), address, message);
        }
        due();
    }

    private Connection.Handler accept(Connection c) {
        if (closed || incoming >= settings.connections()) {
            count("connections-in-hit");
            return null;
        }
        incoming++;
        return new Stream(here, null, true) {
            @Override
            public void onOpen(Connection opened) {
                limit(opened);
            }

            @Override
            public void onClosed(Connection over, IOException cause) {
                super.onClosed(over, cause);
                incoming--;
            }
        };
    }

    /** One connection: a frame in one direction, and perhaps one back. */
    private class Stream implements Connection.Handler {
        private final String expects;
        private final String peer;
        private final boolean accepted;
        private final String name = REPLY + ++references;
        private byte[] frame;
        private final ByteBuffer length = ByteBuffer.allocate(4);
        private int got;
        private boolean done;
        private Timer limit;

        Stream(String expects, String peer, boolean accepted) {
            this.expects = expects;
            this.peer = peer;
            this.accepted = accepted;
        }

        void limit(Connection c) {
            limit = loop.schedule(settings.connectionMs(), () -> {
                count("connections-timed-out");
                c.close();
            });
        }

        @Override
        public void onBytes(Connection c, ByteBuffer bytes) {
            while (bytes.hasRemaining() && !done) {
                if (length.hasRemaining()) {
                    length.put(bytes.get());
                    if (!length.hasRemaining()) {
                        int size = length.getInt(0);
                        if (size < Envelopes.HEAD || size > settings.wire().exchangeBytes()) {
                            count("frames-refused");
                            c.close();
                            return;
                        }
                        // what is declared takes memory only as it comes
                        frame = new byte[Math.min(size, 4096)];
                    }
                } else {
                    int size = length.getInt(0);
                    if (got == frame.length) {
                        frame = Arrays.copyOf(frame, Math.min(size, 2 * frame.length));
                    }
                    int some = Math.min(bytes.remaining(), frame.length - got);
                    bytes.get(frame, got, some);
                    got += some;
                    if (got == size) {
                        done = true;
                        whole(c);
                    }
                }
            }
            bytes.position(bytes.limit());
        }

        private void whole(Connection c) {
            InetSocketAddress remote = c.remoteAddress();
            count("received");
            Envelopes.Opened o = remote == null
                    ? null
                    : envelopes.open(
                            nowMs(),
                            wallMs(),
                            expects,
                            "connection " + remote.getAddress().getHostAddress(),
                            frame,
                            got);
            if (o == null) {
                c.close();
                return;
            }
            if (accepted) {
                replies.put(name, new Reply(c, o));
                take(name, o, frame.length == got ? frame : Arrays.copyOf(frame, got));
            } else {
                take(peer, o, frame.length == got ? frame : Arrays.copyOf(frame, got));
                c.close();
            }
        }

        @Override
        public void onClosed(Connection c, IOException cause) {
            replies.remove(name);
            if (limit != null) {
                limit.cancel();
            }
        }
    }

    // --- What operators see ---

    /** Counters by name. */
    public Map<String, Long> counters() {
        Map<String, Long> result = new TreeMap<>(counts);
        if (envelopes == null) {
            // not started yet
            return result;
        }
        envelopes
                .drops()
                .forEach((why, times) -> result.put(
                        "dropped-" + why.name().toLowerCase(Locale.ROOT).replace('_', '-'), times));
        result.put("updates-unproved", membership.unproved());
        result.put("members-over-bound", membership.overBound());
        result.put("statements-refused", book.refused());
        result.put("claims-contradicted", judge.contradictions());
        result.put("boxes-over-bound", outcomes.overBound());
        return result;
    }

    /** This member's view of the group and of boxes. */
    public ObjectNode view() {
        ObjectNode n = Documents.MAPPER
                .createObjectNode()
                .put("schema", "calicovale/members/1")
                .put("group", settings.group())
                .put("member", settings.member())
                .put("address", here)
                .put("health", membership.health())
                .put("present", membership.present())
                .put("quorum", settings.claims().quorum(membership.present()));
        ArrayNode members = n.putArray("members");
        for (Membership.Member m : membership.members()) {
            members.addObject()
                    .put("id", m.id())
                    .put("address", m.address())
                    .put("state", m.state().name().toLowerCase(Locale.ROOT))
                    .put("incarnation", m.incarnation())
                    .put("sinceS", Math.round((nowMs() - m.sinceMs()) / 100) / 10.0)
                    .put("voice", Math.round(100 * judge.voice(m.id(), nowMs())) / 100.0);
        }
        ArrayNode claims = n.putArray("claims");
        for (ClaimBook.Held h : book.held()) {
            for (Claim c : h.statement().claims()) {
                if (nowMs() - h.atMs() < c.lastsMs()) {
                    claims.addObject()
                            .put("box", c.box())
                            .put("by", h.statement().from())
                            .put("kind", c.kind().name().toLowerCase(Locale.ROOT))
                            .put("strength", c.strength())
                            .put("seenS", Math.round((nowMs() - h.atMs() + c.ageMs()) / 100) / 10.0);
                }
            }
        }
        ObjectNode evidence = n.putObject("evidence");
        told.forEach((box, strength) -> evidence.put(Long.toString(box), Math.round(100 * strength) / 100.0));
        ObjectNode counters = n.putObject("counters");
        counters().forEach(counters::put);
        return n;
    }

    /** The membership; for tests and measurements. */
    public Membership membership() {
        return membership;
    }

    /** Where it is reached. */
    public String address() {
        return here;
    }

    /** Leaves the group on purpose; the sockets stay until {@link #close()}. */
    public void leave() {
        if (membership != null) {
            membership.leave(nowMs());
        }
    }

    /** Closes the sockets and reads keys no more. To be called on the loop, or when it has ended. */
    @Override
    public void close() {
        closed = true;
        disk.shutdownNow();
        if (datagrams != null && loop.inLoop()) {
            datagrams.close();
            connections.close();
        }
        if (timer != null && loop.inLoop()) {
            timer.cancel();
        }
    }
}
