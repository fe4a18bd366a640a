package calicovale.gossip.member;

import calicovale.gossip.member.Update.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member's view of the group and its side of the membership protocol. Its input is received messages and the
 * current time; its output is messages to send and changes of the view. Members are probed in turn, first directly and
 * then through other members; a member that answers neither way is suspected, and it is dead only once the suspicion
 * times out without a refutation by the member itself. Only a member raises its own incarnation.
 *
 * <p>All times are in ms of one monotonic clock. Not thread-safe: all calls must come from one thread.
 */
public final class Membership {

    /** Sends messages to other members; messages may be lost. */
    public interface Transport {
        /** Sends a message to an address. */
        void send(String address, Message message);

        /** Sends a message over a transport that does not lose it while the peer is up, though it may be slower. */
        default void sendReliably(String address, Message message) {
            send(address, message);
        }
    }

    /** Receives changes of the view. */
    public interface Listener {
        /** Called when the state of a member has changed; {@code before} is null if the member was unknown. */
        void memberChanged(String id, State before, State after, long incarnation);
    }

    /** One member as seen by this one. */
    public static final class Member {
        private final String id;
        private String address;
        private long incarnation;
        private State state;
        private double sinceMs;
        private Suspicion suspicion;
        private Update lastOwnUpdate;
        /** Distrusted member whose suspicion of this one needs a second reporter; null if there is none. */
        private String distrustedReporter;

        private Member(String id) {
            this.id = id;
        }

        /** Returns the member's id. */
        public String id() {
            return id;
        }

        /** Returns the address at which the member is reached. */
        public String address() {
            return address;
        }

        /** Returns the highest known incarnation of the member. */
        public long incarnation() {
            return incarnation;
        }

        /** Returns the state in this view. */
        public State state() {
            return state;
        }

        /** Returns the time at which the current state began, in ms. */
        public double sinceMs() {
            return sinceMs;
        }

        /** Returns whether the member counts as part of the group: alive or suspected. */
        public boolean isPresent() {
            return state == State.ALIVE || state == State.SUSPECT;
        }
    }

    /** The probe in progress. */
    private static final class Probe {
        final String target;
        final long sequenceNumber;
        double indirectAtMs;
        double endMs;
        boolean indirect;
        boolean answered;
        int nacksOutstanding;

        Probe(String target, long sequenceNumber) {
            this.target = target;
            this.sequenceNumber = sequenceNumber;
        }
    }

    /** An indirect probe made for another member that requested it by ping-req. */
    private record RelayedProbe(String requesterAddress, long requesterSequenceNumber, double nackAtMs, double endMs) {}

    /** Number of refuted suspicions by one reporter, decayed up to {@code decayedAtMs}. */
    private static final class FalseSuspicionCount {
        double count;
        double decayedAtMs;

        FalseSuspicionCount(double nowMs) {
            decayedAtMs = nowMs;
        }
    }

    /**
     * Fraction of the probe timeout after which a helper sends a nack, so that the nack still arrives within the
     * requester's time.
     */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;
    /** Half-life of counted false suspicions, in ms; about as long as the network faults that cause some of them. */
    private static final double FALSE_SUSPICION_HALF_LIFE_MS = 60_000;

    private final MemberSettings settings;
    private final RandomGenerator random;
    private final Transport transport;
    private final UpdateProofs proofs;
    private final Listener listener;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Member self;
    private final DisseminationQueue dissemination = new DisseminationQueue();
    private final List<String> probeOrder = new ArrayList<>();
    private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final List<String> seeds;
    private Probe probe;
    private long lastSequenceNumber;
    private int health;
    private boolean leaving;
    private double nextProbeMs;
    private double nextDisseminationMs;
    private double nextAntiEntropyMs;
    private long rejectedOverBound;
    private long rejectedUpdates;
    /** For each reporter, the suspicions that it raised alone and that were refuted. */
    private final Map<String, FalseSuspicionCount> falseSuspicions = new LinkedHashMap<>();

    /**
     * Creates a member that knows only itself.
     *
     * @param incarnation above that of any earlier process of this member if that is known; otherwise the member learns
     *     of the earlier one from the others
     * @param seeds addresses of members through which it joins; contacted again whenever it knows no present member
     */
    public Membership(
            MemberSettings settings,
            String id,
            String address,
            long incarnation,
            List<String> seeds,
            RandomGenerator random,
            Transport transport,
            UpdateProofs proofs,
            Listener listener) {
        this.settings = settings;
        this.random = random;
        this.transport = transport;
        this.proofs = proofs;
        this.listener = listener;
        this.seeds = List.copyOf(seeds);
        self = new Member(id);
        self.address = address;
        self.incarnation = incarnation;
        self.state = State.ALIVE;
        self.lastOwnUpdate = signedUpdate(self, State.ALIVE);
        members.put(id, self);
    }

    /** Returns this member as seen by itself. */
    public Member self() {
        return self;
    }

    /** Returns all known members, including this one and the dead ones that are still remembered. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** Returns the state of a member, or null if it is unknown. */
    public State state(String id) {
        Member member = members.get(id);
        return member == null ? null : member.state;
    }

    /** Returns the number of present members, including this one. */
    public int presentCount() {
        int count = 0;
        for (Member member : members.values()) {
            count += member.isPresent() ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the local health score (Lifeguard, section 4.A): 0 is healthy; it grows as this member itself appears to
     * be slow.
     */
    public int health() {
        return health;
    }

    /**
     * Returns the number of members that were not added, and of ping-reqs that were not served, because of the bound
     * {@code maxMembers}.
     */
    public long rejectedOverBound() {
        return rejectedOverBound;
    }

    /** Returns the number of updates rejected because their proof was invalid or their reporter may not make them. */
    public long rejectedUpdates() {
        return rejectedUpdates;
    }

    /**
     * Returns the addresses of up to {@code limit} present members other than this one, in random order and each at
     * most once.
     */
    public List<String> randomAddresses(int limit) {
        List<String> result = new ArrayList<>();
        randomMembers(limit, null).forEach(member -> result.add(member.address));
        return result;
    }

    /**
     * Appends the whole state as text, without times other than the ends of suspicions, for model checks. Two members
     * with equal text behave alike from there on.
     */
    public void appendState(StringBuilder target) {
        for (Member member : members.values()) {
            target.append(member.id)
                    .append(member.address)
                    .append(member.incarnation)
                    .append(member.state)
                    .append(member.distrustedReporter);
            target.append(member.suspicion == null ? "" : Double.toString(member.suspicion.endMs()));
        }
        target.append(probeOrder)
                .append(health)
                .append(lastSequenceNumber)
                .append(leaving)
                .append(relayedProbes.keySet());
        target.append(
                probe == null
                        ? ""
                        : probe.target
                                + probe.sequenceNumber
                                + probe.indirect
                                + probe.answered
                                + probe.nacksOutstanding);
        dissemination.appendState(target);
    }

    private Update signedUpdate(Member member, State state) {
        Update update = Update.withoutProof(
                member.id, state == State.SUSPECT ? "" : member.address, member.incarnation, state, self.id);
        return update.withProof(proofs.prove(update));
    }

    // --- Time ---

    /** Starts the timers and joins the group through the seeds. */
    public void start(double nowMs) {
        self.sinceMs = nowMs;
        nextProbeMs = nowMs + settings.probeIntervalMs() * random.nextDouble();
        nextDisseminationMs = nowMs + settings.disseminationIntervalMs() * random.nextDouble();
        nextAntiEntropyMs = nowMs + settings.antiEntropyIntervalMs() * (0.5 + 0.5 * random.nextDouble());
        join();
    }

    private void join() {
        for (String seed : seeds) {
            if (!seed.equals(self.address)) {
                transport.send(seed, new Message.PushPull(false, fullState()));
            }
        }
    }

    /** Leaves the group on purpose. This member announces it itself, so that the others do not have to detect it. */
    public void leave(double nowMs) {
        leaving = true;
        setState(self, State.LEFT, self.incarnation, nowMs);
        Update left = signedUpdate(self, State.LEFT);
        for (Member member : randomMembers(settings.disseminationFanout() * 2, null)) {
            transport.send(member.address, new Message.Dissemination(List.of(left)));
        }
    }

    /** Does everything that is due and returns the time at which something is due next, in ms. */
    public double tick(double nowMs) {
        if (leaving) {
            return Double.POSITIVE_INFINITY;
        }
        advanceRelayedProbes(nowMs);
        advanceProbe(nowMs);
        expireSuspicions(nowMs);
        if (nowMs >= nextDisseminationMs) {
            nextDisseminationMs = nowMs + settings.disseminationIntervalMs();
            for (Member member : dissemination.size() == 0
                    ? List.<Member>of()
                    : randomMembers(settings.disseminationFanout(), null)) {
                transport.send(member.address, new Message.Dissemination(piggybackedUpdates(null)));
            }
        }
        if (nowMs >= nextAntiEntropyMs) {
            nextAntiEntropyMs = nowMs + settings.antiEntropyIntervalMs() * (0.75 + 0.5 * random.nextDouble());
            startAntiEntropy(nowMs);
        }
        double next = Math.min(Math.min(nextProbeMs, nextDisseminationMs), nextAntiEntropyMs);
        if (probe != null) {
            next = Math.min(next, probe.indirect ? probe.endMs : Math.min(probe.indirectAtMs, probe.endMs));
        }
        for (RelayedProbe relayed : relayedProbes.values()) {
            next = Math.min(next, Math.min(relayed.nackAtMs(), relayed.endMs()));
        }
        for (Member member : members.values()) {
            next = member.suspicion == null ? next : Math.min(next, member.suspicion.endMs());
        }
        return next;
    }

    private void startAntiEntropy(double nowMs) {
        removeExpiredMembers(nowMs);
        List<Member> present = randomMembers(1, null);
        present.forEach(
                member -> transport.send(member.address, new Message.Digest(viewHash(), piggybackedUpdates(null))));
        if (present.isEmpty()) {
            join();
        }
        // A member in state DEAD may be alive on the other side of a network partition. It learns of the suspicion
        // from this message and refutes it.
        List<Member> dead = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state == State.DEAD) {
                dead.add(member);
            }
        }
        if (!dead.isEmpty()) {
            transport.send(dead.get(random.nextInt(dead.size())).address, new Message.PushPull(false, fullState()));
        }
    }

    private void removeExpiredMembers(double nowMs) {
        for (Iterator<Member> iterator = members.values().iterator(); iterator.hasNext(); ) {
            Member member = iterator.next();
            if (!member.isPresent() && member != self && nowMs - member.sinceMs > settings.deadRetentionMs()) {
                iterator.remove();
            }
        }
    }

    // --- Probes ---

    private void advanceProbe(double nowMs) {
        if (probe != null && !probe.answered) {
            if (!probe.indirect && nowMs >= probe.indirectAtMs) {
                startIndirectProbes();
            }
            if (nowMs >= probe.endMs) {
                Member suspect = members.get(probe.target);
                // A helper that sent neither an ack nor a nack suggests that this member itself is not being heard.
                adjustHealth(probe.nacksOutstanding > 0 ? probe.nacksOutstanding : probe.indirect ? 0 : 1);
                probe = null;
                if (suspect != null && suspect.isPresent()) {
                    // If the member is suspected already, this is an independent confirmation.
                    applySuspicion(signedUpdate(suspect, State.SUSPECT), nowMs);
                }
            }
        } else if (probe != null) {
            probe = null;
        }
        if (probe != null || nowMs < nextProbeMs) {
            return;
        }
        double intervalMs = settings.probeIntervalMs() * (health + 1);
        nextProbeMs = nowMs + intervalMs;
        Member target = nextProbeTarget();
        if (target == null) {
            return;
        }
        probe = new Probe(target.id, ++lastSequenceNumber);
        probe.indirectAtMs = nowMs + settings.probeTimeoutMs() * (health + 1);
        probe.endMs = nowMs + intervalMs;
        transport.send(target.address, new Message.Ping(probe.sequenceNumber, target.id, piggybackedUpdates(target)));
    }

    /**
     * Returns the next member to probe, or null if no other member is present. Each member is probed once per round, in
     * an order that is shuffled anew for each round (SWIM, section 4.3).
     */
    private Member nextProbeTarget() {
        for (int attempt = 0; attempt <= 1; attempt++) {
            while (!probeOrder.isEmpty()) {
                Member member = members.get(probeOrder.remove(probeOrder.size() - 1));
                if (member != null && member != self && member.isPresent()) {
                    return member;
                }
            }
            members.keySet().forEach(probeOrder::add);
            for (int i = probeOrder.size() - 1; i > 0; i--) {
                int other = random.nextInt(i + 1);
                probeOrder.set(i, probeOrder.set(other, probeOrder.get(i)));
            }
        }
        return null;
    }

    private void startIndirectProbes() {
        probe.indirect = true;
        Member target = members.get(probe.target);
        if (target == null) {
            return;
        }
        for (Member helper : randomMembers(settings.indirectProbes(), target)) {
            probe.nacksOutstanding++;
            transport.send(
                    helper.address,
                    new Message.PingReq(probe.sequenceNumber, target.id, target.address, piggybackedUpdates(null)));
        }
        // A network that loses datagrams may still carry a connection.
        transport.sendReliably(
                target.address, new Message.Ping(probe.sequenceNumber, target.id, piggybackedUpdates(target)));
    }

    private void advanceRelayedProbes(double nowMs) {
        for (Iterator<Map.Entry<Long, RelayedProbe>> iterator =
                        relayedProbes.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<Long, RelayedProbe> entry = iterator.next();
            RelayedProbe relayed = entry.getValue();
            if (nowMs >= relayed.endMs()) {
                iterator.remove();
            } else if (nowMs >= relayed.nackAtMs()) {
                transport.send(
                        relayed.requesterAddress(),
                        new Message.Nack(relayed.requesterSequenceNumber(), piggybackedUpdates(null)));
                entry.setValue(new RelayedProbe(
                        relayed.requesterAddress(),
                        relayed.requesterSequenceNumber(),
                        Double.POSITIVE_INFINITY,
                        relayed.endMs()));
            }
        }
    }

    private void adjustHealth(int delta) {
        health = Math.max(0, Math.min(settings.maxHealthMultiplier() - 1, health + delta));
    }

    // --- Messages ---

    /** Processes a message received from an address. */
    public void receive(double nowMs, String senderAddress, Message message) {
        if (leaving) {
            return;
        }
        message.updates().forEach(update -> apply(update, nowMs));
        if (message instanceof Message.Ping ping) {
            // Only the intended target answers, because its address may have been taken over by another member.
            if (ping.target().equals(self.id)) {
                transport.send(senderAddress, new Message.Ack(ping.sequenceNumber(), piggybackedUpdates(null)));
            }
        } else if (message instanceof Message.PingReq pingReq) {
            long sequenceNumber = ++lastSequenceNumber;
            if (relayedProbes.size() < settings.maxMembers()) {
                relayedProbes.put(
                        sequenceNumber,
                        new RelayedProbe(
                                senderAddress,
                                pingReq.sequenceNumber(),
                                nowMs + NACK_TIMEOUT_FRACTION * settings.probeTimeoutMs(),
                                nowMs + settings.probeIntervalMs()));
                transport.send(
                        pingReq.targetAddress(),
                        new Message.Ping(
                                sequenceNumber, pingReq.target(), piggybackedUpdates(members.get(pingReq.target()))));
            } else {
                rejectedOverBound++;
            }
        } else if (message instanceof Message.Ack ack) {
            RelayedProbe relayed = relayedProbes.remove(ack.sequenceNumber());
            if (relayed != null) {
                transport.send(
                        relayed.requesterAddress(),
                        new Message.Ack(relayed.requesterSequenceNumber(), piggybackedUpdates(null)));
            } else if (probe != null && probe.sequenceNumber == ack.sequenceNumber() && !probe.answered) {
                probe.answered = true;
                adjustHealth(-1);
            }
        } else if (message instanceof Message.Nack nack) {
            if (probe != null && probe.sequenceNumber == nack.sequenceNumber() && probe.nacksOutstanding > 0) {
                probe.nacksOutstanding--;
            }
        } else if (message instanceof Message.Digest digest) {
            if (digest.hash() != viewHash()) {
                transport.send(senderAddress, new Message.PushPull(false, fullState()));
            }
        } else if (message instanceof Message.PushPull pushPull && !pushPull.reply()) {
            transport.send(senderAddress, new Message.PushPull(true, fullState()));
        }
    }

    /** Applies one update, regardless of which member relayed it. */
    private void apply(Update update, double nowMs) {
        switch (update.state()) {
            case ALIVE -> applyAlive(update, nowMs);
            case SUSPECT -> applySuspicion(update, nowMs);
            case LEFT -> applyLeave(update, nowMs);
            // A member is never declared dead because another one says so; each member waits for its own suspicion to
            // time out.
            case DEAD -> rejectedUpdates++;
        }
    }

    private boolean verify(Update update) {
        boolean isOwn = update.reporter().equals(self.id);
        if (!isOwn && !proofs.verify(update)) {
            rejectedUpdates++;
            return false;
        }
        return true;
    }

    private void applyAlive(Update update, double nowMs) {
        if (!update.reporter().equals(update.memberId())) {
            rejectedUpdates++;
            return;
        }
        Member member = members.get(update.memberId());
        if (member == self) {
            // Announced by an earlier process of this member; the others must learn of the current incarnation.
            if ((update.incarnation() > self.incarnation
                            || update.incarnation() == self.incarnation
                                    && !update.address().equals(self.address))
                    && proofs.verify(update)) {
                refute(update.incarnation(), true);
            }
            return;
        }
        if (member != null && update.incarnation() <= member.incarnation || !verify(update)) {
            return;
        }
        if (member == null) {
            if (members.size() >= settings.maxMembers()) {
                rejectedOverBound++;
                return;
            }
            member = new Member(update.memberId());
            members.put(update.memberId(), member);
            probeOrder.add(random.nextInt(probeOrder.size() + 1), update.memberId());
        }
        if (member.suspicion != null && member.suspicion.unconfirmedReporter() != null) {
            countFalseSuspicion(member.suspicion.unconfirmedReporter(), nowMs);
        }
        member.address = update.address();
        member.lastOwnUpdate = update;
        setState(member, State.ALIVE, update.incarnation(), nowMs);
        dissemination.add(update);
    }

    /**
     * Applies a suspicion. It counts only at the incarnation that the suspected member itself announced, because nobody
     * else may raise it, and because a suspicion at a lower one has been refuted already.
     */
    private void applySuspicion(Update update, double nowMs) {
        Member member = members.get(update.memberId());
        if (member == null
                || update.incarnation() != member.incarnation
                || update.reporter().equals(update.memberId())) {
            return;
        }
        if (member == self) {
            if (!leaving && verify(update)) {
                boolean trusted = !isDistrusted(update.reporter(), nowMs);
                countFalseSuspicion(update.reporter(), nowMs);
                refute(update.incarnation(), trusted);
            }
            return;
        }
        if (member.suspicion != null) {
            if (!member.suspicion.isReportedBy(update.reporter())
                    && verify(update)
                    && member.suspicion.confirm(update.reporter())) {
                dissemination.add(update);
            }
            return;
        }
        if (member.state != State.ALIVE || update.reporter().equals(member.distrustedReporter) || !verify(update)) {
            return;
        }
        String reporter = update.reporter();
        if (!reporter.equals(self.id) && isDistrusted(reporter, nowMs)) {
            if (member.distrustedReporter == null) {
                member.distrustedReporter = reporter;
                return;
            }
        }
        String earlierReporter = member.distrustedReporter;
        setState(member, State.SUSPECT, update.incarnation(), nowMs);
        int possibleConfirmers = presentCount() - 2;
        double minTimeoutMs = settings.suspicionMultiplier()
                * Math.max(1, Math.log10(Math.max(1, presentCount())))
                * settings.probeIntervalMs();
        int expectedConfirmations = (int) settings.suspicionMultiplier() - 2;
        member.suspicion = new Suspicion(
                reporter,
                nowMs,
                minTimeoutMs,
                minTimeoutMs * settings.maxSuspicionTimeoutMultiplier(),
                possibleConfirmers < expectedConfirmations ? 0 : expectedConfirmations);
        if (earlierReporter != null) {
            member.suspicion.confirm(earlierReporter);
        }
        dissemination.add(update);
    }

    private void applyLeave(Update update, double nowMs) {
        Member member = members.get(update.memberId());
        if (member == null
                || member == self
                || !update.reporter().equals(update.memberId())
                || update.incarnation() < member.incarnation
                || !member.isPresent()
                || !verify(update)) {
            return;
        }
        member.lastOwnUpdate = update;
        setState(member, State.LEFT, update.incarnation(), nowMs);
        dissemination.add(update);
    }

    private void countFalseSuspicion(String reporter, double nowMs) {
        if (reporter.equals(self.id)
                || !falseSuspicions.containsKey(reporter) && falseSuspicions.size() >= settings.maxMembers()) {
            return;
        }
        decayedFalseSuspicions(reporter, nowMs).count++;
    }

    private FalseSuspicionCount decayedFalseSuspicions(String reporter, double nowMs) {
        FalseSuspicionCount decayed = falseSuspicions.computeIfAbsent(reporter, id -> new FalseSuspicionCount(nowMs));
        decayed.count *= Math.pow(0.5, (nowMs - decayed.decayedAtMs) / FALSE_SUSPICION_HALF_LIFE_MS);
        decayed.decayedAtMs = nowMs;
        return decayed;
    }

    /**
     * Returns whether so many of a reporter's recent suspicions were refuted that another one needs a second reporter.
     */
    private boolean isDistrusted(String reporter, double nowMs) {
        return falseSuspicions.containsKey(reporter)
                && decayedFalseSuspicions(reporter, nowMs).count >= settings.maxFalseSuspicions();
    }

    private void expireSuspicions(double nowMs) {
        for (Member member : members.values()) {
            if (member.suspicion != null && nowMs >= member.suspicion.endMs()) {
                setState(member, State.DEAD, member.incarnation, nowMs);
            }
        }
    }

    /**
     * Announces this member at a new incarnation, for example after its key was replaced, so that the others soon stop
     * relying on what the old key signed.
     */
    public void raiseIncarnation() {
        refute(self.incarnation, false);
    }

    private void refute(long refutedIncarnation, boolean worsensHealth) {
        self.incarnation = Math.max(self.incarnation, refutedIncarnation) + 1;
        self.lastOwnUpdate = signedUpdate(self, State.ALIVE);
        // A member that reports falsely must not be able to slow this one.
        adjustHealth(worsensHealth ? 1 : 0);
        dissemination.add(self.lastOwnUpdate);
    }

    private void setState(Member member, State state, long incarnation, double nowMs) {
        State before = member.state;
        member.incarnation = incarnation;
        member.suspicion = null;
        member.distrustedReporter = null;
        if (member.state != state) {
            member.state = state;
            member.sinceMs = nowMs;
            listener.memberChanged(member.id, before, state, incarnation);
        }
    }

    // --- Contents of messages ---

    /**
     * Returns the updates for one message. A message to a suspected member begins with the member's last own update,
     * because it may have restarted since, and the suspicion that it has to refute (Lifeguard, section 4.C).
     */
    private List<Update> piggybackedUpdates(Member receiver) {
        int maxTransmissions = (int) Math.ceil(settings.retransmitMultiplier() * Math.log10(presentCount() + 1));
        boolean notifySuspect = settings.buddySystem() && receiver != null && receiver.state == State.SUSPECT;
        List<Update> rest =
                dissemination.take(settings.maxUpdatesPerMessage() - (notifySuspect ? 2 : 0), maxTransmissions);
        if (!notifySuspect) {
            return rest;
        }
        List<Update> result = new ArrayList<>(rest.size() + 2);
        result.add(receiver.lastOwnUpdate);
        result.add(signedUpdate(receiver, State.SUSPECT));
        result.addAll(rest);
        return result;
    }

    /**
     * Returns an order-independent hash of the present members' ids, addresses and incarnations: the sum of an FNV-1a
     * hash of each.
     */
    private long viewHash() {
        long result = 0;
        for (Member member : members.values()) {
            if (member.isPresent()) {
                long hash = 0xcbf29ce484222325L;
                for (String part : List.of(member.id, member.address)) {
                    for (int i = 0; i < part.length(); i++) {
                        hash = (hash ^ part.charAt(i)) * 0x100000001b3L;
                    }
                    hash = (hash ^ 0xff) * 0x100000001b3L;
                }
                for (int shift = 0; shift < 64; shift += 8) {
                    hash = (hash ^ (member.incarnation >>> shift & 0xff)) * 0x100000001b3L;
                }
                result += hash;
            }
        }
        return result;
    }

    private List<Update> fullState() {
        List<Update> result = new ArrayList<>(members.size());
        for (Member member : members.values()) {
            result.add(member.lastOwnUpdate);
            if (member.state == State.SUSPECT || member.state == State.DEAD) {
                // A dead member is sent as a suspicion, because it may be alive on the other side of a network
                // partition and then refutes the suspicion.
                result.add(signedUpdate(member, State.SUSPECT));
            }
        }
        return result;
    }

    /**
     * Returns up to {@code limit} present members in random order, each at most once; neither this member nor
     * {@code excluded} is among them.
     */
    private List<Member> randomMembers(int limit, Member excluded) {
        List<Member> result = new ArrayList<>();
        for (Member member : members.values()) {
            if (member != self && member != excluded && member.isPresent()) {
                result.add(member);
            }
        }
        for (int i = 0; i < Math.min(limit, result.size()); i++) {
            int other = i + random.nextInt(result.size() - i);
            result.set(i, result.set(other, result.get(i)));
        }
        return result.size() > limit ? result.subList(0, limit) : result;
    }
}
