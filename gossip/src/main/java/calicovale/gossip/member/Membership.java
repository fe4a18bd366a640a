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
 * Owns one member's view of the group and its part of the protocol: it takes messages and the time, and gives messages. A member
 * is probed in turn, then through others, then suspected, and dead only when its suspicion ran out without its own refutation;
 * only a member itself raises its incarnation.
 *
 * <p>All times are ms of one clock that never runs back. To be used by one thread.
 */
public final class Membership {

    /** Carries messages; it may lose them. */
    public interface Wire {
        /** Sends a message to an address. */
        void send(String address, Message message);

        /** Sends a message by a way that does not lose it while the peer is there, though it may be slower. */
        default void sendReliably(String address, Message message) {
            send(address, message);
        }
    }

    /** Hears of changes of the view. */
    public interface Listener {
        /** A member is taken for something else now; {@code before} null: it was not known. */
        void changed(String id, State before, State now, long incarnation);
    }

    /** One member as it is seen here. */
    public static final class Member {
        private final String id;
        private String address;
        private long incarnation;
        private State state;
        private double sinceMs;
        private Suspicion suspicion;
        private Update alive;
        private String whisperer;

        private Member(String id) {
            this.id = id;
        }

        /** Its id. */
        public String id() {
            return id;
        }

        /** Where it is reached. */
        public String address() {
            return address;
        }

        /** Its incarnation as last heard. */
        public long incarnation() {
            return incarnation;
        }

        /** What it is taken for. */
        public State state() {
            return state;
        }

        /** Since when. */
        public double sinceMs() {
            return sinceMs;
        }

        /** Whether it is taken for a part of the group. */
        public boolean present() {
            return state == State.ALIVE || state == State.SUSPECT;
        }
    }

    /** A probe that is out. */
    private static final class Probe {
        final String target;
        final long number;
        double indirectAtMs;
        double endMs;
        boolean indirect;
        boolean answered;
        int nacksDue;

        Probe(String target, long number) {
            this.target = target;
            this.number = number;
        }
    }

    /** A probe made for another. */
    private record Errand(String forAddress, long number, double nackAtMs, double endMs) {}

    /** An indirect probe says that it heard nothing after this part of the time-out, so that its word comes in time. */
    private static final double NACK_PART = 0.8;
    /** Ms in which a false alarm loses half of its say: trouble of the network that causes some lasts about as long. */
    private static final double ALARM_HALF_MS = 60_000;

    private final MemberSettings settings;
    private final RandomGenerator random;
    private final Wire wire;
    private final Proofs proofs;
    private final Listener listener;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Member self;
    private final NewsQueue news = new NewsQueue();
    private final List<String> turn = new ArrayList<>();
    private final Map<Long, Errand> errands = new LinkedHashMap<>();
    private final List<String> seeds;
    private Probe probe;
    private long numbers;
    private int health;
    private boolean leaving;
    private double probeAtMs;
    private double newsAtMs;
    private double exchangeAtMs;
    private long overBound;
    private long unproved;
    /** Suspicions that a member raised alone and that were refuted, and when they were last halved. */
    private final Map<String, double[]> falseAlarms = new LinkedHashMap<>();

    /**
     * A member that begins alone; {@code seeds} are addresses by which it joins, asked again while it is alone.
     *
     * @param incarnation above that of any earlier life, if that is known; else it learns it from the others
     */
    public Membership(
            MemberSettings settings,
            String id,
            String address,
            long incarnation,
            List<String> seeds,
            RandomGenerator random,
            Wire wire,
            Proofs proofs,
            Listener listener) {
        this.settings = settings;
        this.random = random;
        this.wire = wire;
        this.proofs = proofs;
        this.listener = listener;
        this.seeds = List.copyOf(seeds);
        self = new Member(id);
        self.address = address;
        self.incarnation = incarnation;
        self.state = State.ALIVE;
        self.alive = saidOf(self, State.ALIVE);
        members.put(id, self);
    }

    /** This member as it sees itself. */
    public Member self() {
        return self;
    }

    /** All members known, the dead that are remembered included. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** What a member is taken for; null: it is not known. */
    public State state(String id) {
        Member m = members.get(id);
        return m == null ? null : m.state;
    }

    /** Members that are present, this one included. */
    public int present() {
        int count = 0;
        for (Member m : members.values()) {
            count += m.present() ? 1 : 0;
        }
        return count;
    }

    /** The local health score: 0 well, higher the later this member seems to be itself (Lifeguard, 4.A). */
    public int health() {
        return health;
    }

    /** Members not taken, and probes not made for others, because there are {@code membersMost} already. */
    public long overBound() {
        return overBound;
    }

    /** Updates that were not taken because their proof was wrong. */
    public long unproved() {
        return unproved;
    }

    /** Some present members' addresses, drawn anew each time, none twice, without this one. */
    public List<String> someAddresses(int most) {
        List<String> result = new ArrayList<>();
        some(most, null).forEach(m -> result.add(m.address));
        return result;
    }

    /** Its whole state as text, times but for suspicions' left out: two that give the same go on alike. For checks of the model. */
    public void describe(StringBuilder to) {
        for (Member m : members.values()) {
            to.append(m.id)
                    .append(m.address)
                    .append(m.incarnation)
                    .append(m.state)
                    .append(m.whisperer);
            to.append(m.suspicion == null ? "" : Double.toString(m.suspicion.endMs()));
        }
        to.append(turn).append(health).append(numbers).append(leaving).append(errands.keySet());
        to.append(probe == null ? "" : probe.target + probe.number + probe.indirect + probe.answered + probe.nacksDue);
        news.describe(to);
    }

    private Update saidOf(Member m, State state) {
        Update u = Update.unproved(m.id, state == State.SUSPECT ? "" : m.address, m.incarnation, state, self.id);
        return u.with(proofs.prove(u));
    }

    // --- Time ---

    /** Begins: joins by the seeds. */
    public void start(double nowMs) {
        self.sinceMs = nowMs;
        probeAtMs = nowMs + settings.probeMs() * random.nextDouble();
        newsAtMs = nowMs + settings.newsMs() * random.nextDouble();
        exchangeAtMs = nowMs + settings.exchangeMs() * (0.5 + 0.5 * random.nextDouble());
        join();
    }

    private void join() {
        for (String seed : seeds) {
            if (!seed.equals(self.address)) {
                wire.send(seed, new Message.Exchange(false, all()));
            }
        }
    }

    /** Leaves on purpose: the others hear it from this member itself. */
    public void leave(double nowMs) {
        leaving = true;
        set(self, State.LEFT, self.incarnation, nowMs);
        Update left = saidOf(self, State.LEFT);
        for (Member m : some(settings.newsTo() * 2, null)) {
            wire.send(m.address, new Message.News(List.of(left)));
        }
    }

    /** Does what is due; gives the time at which something is due next. */
    public double tick(double nowMs) {
        if (leaving) {
            return Double.POSITIVE_INFINITY;
        }
        errands(nowMs);
        probe(nowMs);
        suspicions(nowMs);
        if (nowMs >= newsAtMs) {
            newsAtMs = nowMs + settings.newsMs();
            for (Member m : news.size() == 0 ? List.<Member>of() : some(settings.newsTo(), null)) {
                wire.send(m.address, new Message.News(carried(null)));
            }
        }
        if (nowMs >= exchangeAtMs) {
            exchangeAtMs = nowMs + settings.exchangeMs() * (0.75 + 0.5 * random.nextDouble());
            exchange(nowMs);
        }
        double next = Math.min(Math.min(probeAtMs, newsAtMs), exchangeAtMs);
        if (probe != null) {
            next = Math.min(next, probe.indirect ? probe.endMs : Math.min(probe.indirectAtMs, probe.endMs));
        }
        for (Errand e : errands.values()) {
            next = Math.min(next, Math.min(e.nackAtMs(), e.endMs()));
        }
        for (Member m : members.values()) {
            next = m.suspicion == null ? next : Math.min(next, m.suspicion.endMs());
        }
        return next;
    }

    private void exchange(double nowMs) {
        forgetOld(nowMs);
        List<Member> present = some(1, null);
        present.forEach(m -> wire.send(m.address, new Message.Digest(sum(), carried(null))));
        if (present.isEmpty()) {
            join();
        }
        // one that is taken for dead may be the other side of a cut: it hears so, and refutes it
        List<Member> dead = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.state == State.DEAD) {
                dead.add(m);
            }
        }
        if (!dead.isEmpty()) {
            wire.send(dead.get(random.nextInt(dead.size())).address, new Message.Exchange(false, all()));
        }
    }

    private void forgetOld(double nowMs) {
        for (Iterator<Member> i = members.values().iterator(); i.hasNext(); ) {
            Member m = i.next();
            if (!m.present() && m != self && nowMs - m.sinceMs > settings.deadKeptMs()) {
                i.remove();
            }
        }
    }

    // --- Probes ---

    private void probe(double nowMs) {
        if (probe != null && !probe.answered) {
            if (!probe.indirect && nowMs >= probe.indirectAtMs) {
                askOthers();
            }
            if (nowMs >= probe.endMs) {
                Member m = members.get(probe.target);
                // whoever was asked and did not even say that it heard nothing: perhaps it is this member that is not
                // heard
                health(probe.nacksDue > 0 ? probe.nacksDue : probe.indirect ? 0 : 1);
                probe = null;
                if (m != null && m.present()) {
                    // of one that is suspected already it is the confirmation
                    suspect(saidOf(m, State.SUSPECT), nowMs);
                }
            }
        } else if (probe != null) {
            probe = null;
        }
        if (probe != null || nowMs < probeAtMs) {
            return;
        }
        double slowed = settings.probeMs() * (health + 1);
        probeAtMs = nowMs + slowed;
        Member target = next();
        if (target == null) {
            return;
        }
        probe = new Probe(target.id, ++numbers);
        probe.indirectAtMs = nowMs + settings.timeoutMs() * (health + 1);
        probe.endMs = nowMs + slowed;
        wire.send(target.address, new Message.Ping(probe.number, target.id, carried(target)));
    }

    /** The next in turn: each member once, in an order drawn anew each round (SWIM, 4.3). */
    private Member next() {
        for (int tries = 0; tries <= 1; tries++) {
            while (!turn.isEmpty()) {
                Member m = members.get(turn.remove(turn.size() - 1));
                if (m != null && m != self && m.present()) {
                    return m;
                }
            }
            members.keySet().forEach(turn::add);
            for (int i = turn.size() - 1; i > 0; i--) {
                int k = random.nextInt(i + 1);
                turn.set(i, turn.set(k, turn.get(i)));
            }
        }
        return null;
    }

    private void askOthers() {
        probe.indirect = true;
        Member target = members.get(probe.target);
        if (target == null) {
            return;
        }
        for (Member m : some(settings.indirect(), target)) {
            probe.nacksDue++;
            wire.send(m.address, new Message.PingReq(probe.number, target.id, target.address, carried(null)));
        }
        // a network that loses datagrams may still carry a connection
        wire.sendReliably(target.address, new Message.Ping(probe.number, target.id, carried(target)));
    }

    private void errands(double nowMs) {
        for (Iterator<Map.Entry<Long, Errand>> i = errands.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Errand> e = i.next();
            Errand errand = e.getValue();
            if (nowMs >= errand.endMs()) {
                i.remove();
            } else if (nowMs >= errand.nackAtMs()) {
                wire.send(errand.forAddress(), new Message.Nack(errand.number(), carried(null)));
                e.setValue(new Errand(errand.forAddress(), errand.number(), Double.POSITIVE_INFINITY, errand.endMs()));
            }
        }
    }

    private void health(int by) {
        health = Math.max(0, Math.min(settings.healthMost() - 1, health + by));
    }

    // --- Messages ---

    /** Takes a message that came from an address. */
    public void receive(double nowMs, String address, Message message) {
        if (leaving) {
            return;
        }
        message.updates().forEach(update -> take(update, nowMs));
        if (message instanceof Message.Ping ping) {
            // an address may have been taken over by another member: only the one that is meant answers
            if (ping.target().equals(self.id)) {
                wire.send(address, new Message.Ack(ping.number(), carried(null)));
            }
        } else if (message instanceof Message.PingReq asked) {
            long number = ++numbers;
            if (errands.size() < settings.membersMost()) {
                errands.put(
                        number,
                        new Errand(
                                address,
                                asked.number(),
                                nowMs + NACK_PART * settings.timeoutMs(),
                                nowMs + settings.probeMs()));
                wire.send(
                        asked.targetAddress(),
                        new Message.Ping(number, asked.target(), carried(members.get(asked.target()))));
            } else {
                overBound++;
            }
        } else if (message instanceof Message.Ack ack) {
            Errand errand = errands.remove(ack.number());
            if (errand != null) {
                wire.send(errand.forAddress(), new Message.Ack(errand.number(), carried(null)));
            } else if (probe != null && probe.number == ack.number() && !probe.answered) {
                probe.answered = true;
                health(-1);
            }
        } else if (message instanceof Message.Nack nack) {
            if (probe != null && probe.number == nack.number() && probe.nacksDue > 0) {
                probe.nacksDue--;
            }
        } else if (message instanceof Message.Digest digest) {
            if (digest.sum() != sum()) {
                wire.send(address, new Message.Exchange(false, all()));
            }
        } else if (message instanceof Message.Exchange exchange && !exchange.answer()) {
            wire.send(address, new Message.Exchange(true, all()));
        }
    }

    /** Takes one update, whoever brought it. */
    private void take(Update u, double nowMs) {
        switch (u.state()) {
            case ALIVE -> alive(u, nowMs);
            case SUSPECT -> suspect(u, nowMs);
            case LEFT -> left(u, nowMs);
            // nobody dies by another's word: each member lets its own suspicion run out
            case DEAD -> unproved++;
        }
    }

    private boolean proved(Update u) {
        boolean own = u.from().equals(self.id);
        if (!own && !proofs.proved(u)) {
            unproved++;
            return false;
        }
        return true;
    }

    private void alive(Update u, double nowMs) {
        if (!u.from().equals(u.id())) {
            unproved++;
            return;
        }
        Member m = members.get(u.id());
        if (m == self) {
            // an earlier life of this member: the others must hear of this one
            if ((u.incarnation() > self.incarnation
                            || u.incarnation() == self.incarnation
                                    && !u.address().equals(self.address))
                    && proofs.proved(u)) {
                refute(u.incarnation(), true);
            }
            return;
        }
        if (m != null && u.incarnation() <= m.incarnation || !proved(u)) {
            return;
        }
        if (m == null) {
            if (members.size() >= settings.membersMost()) {
                overBound++;
                return;
            }
            m = new Member(u.id());
            members.put(u.id(), m);
            turn.add(random.nextInt(turn.size() + 1), u.id());
        }
        if (m.suspicion != null && m.suspicion.alone() != null) {
            falseAlarm(m.suspicion.alone(), nowMs);
        }
        m.address = u.address();
        m.alive = u;
        set(m, State.ALIVE, u.incarnation(), nowMs);
        news.add(u);
    }

    /**
     * Only at the incarnation that the member itself told: a higher one that it never had can't be said of it, and what was
     * said at a lower one is refuted.
     */
    private void suspect(Update u, double nowMs) {
        Member m = members.get(u.id());
        if (m == null || u.incarnation() != m.incarnation || u.from().equals(u.id())) {
            return;
        }
        if (m == self) {
            if (!leaving && proved(u)) {
                boolean trusted = !mistrusted(u.from(), nowMs);
                falseAlarm(u.from(), nowMs);
                refute(u.incarnation(), trusted);
            }
            return;
        }
        if (m.suspicion != null) {
            if (!m.suspicion.by(u.from()) && proved(u) && m.suspicion.confirm(u.from())) {
                news.add(u);
            }
            return;
        }
        if (m.state != State.ALIVE || u.from().equals(m.whisperer) || !proved(u)) {
            return;
        }
        String first = u.from();
        if (!first.equals(self.id) && mistrusted(first, nowMs)) {
            if (m.whisperer == null) {
                m.whisperer = first;
                return;
            }
        }
        String before = m.whisperer;
        set(m, State.SUSPECT, u.incarnation(), nowMs);
        int others = present() - 2;
        double least = settings.suspicionMult() * Math.max(1, Math.log10(Math.max(1, present()))) * settings.probeMs();
        int expected = (int) settings.suspicionMult() - 2;
        m.suspicion = new Suspicion(
                first, nowMs, least, least * settings.suspicionMaxMult(), others < expected ? 0 : expected);
        if (before != null) {
            m.suspicion.confirm(before);
        }
        news.add(u);
    }

    private void left(Update u, double nowMs) {
        Member m = members.get(u.id());
        if (m == null
                || m == self
                || !u.from().equals(u.id())
                || u.incarnation() < m.incarnation
                || !m.present()
                || !proved(u)) {
            return;
        }
        m.alive = u;
        set(m, State.LEFT, u.incarnation(), nowMs);
        news.add(u);
    }

    private void falseAlarm(String by, double nowMs) {
        if (by.equals(self.id) || !falseAlarms.containsKey(by) && falseAlarms.size() >= settings.membersMost()) {
            return;
        }
        alarms(by, nowMs)[0]++;
    }

    private double[] alarms(String by, double nowMs) {
        double[] count = falseAlarms.computeIfAbsent(by, b -> new double[] {0, nowMs});
        count[0] *= Math.pow(0.5, (nowMs - count[1]) / ALARM_HALF_MS);
        count[1] = nowMs;
        return count;
    }

    /** Whether a member raised suspicions of late that all others refuted: alone it is not believed any more. */
    private boolean mistrusted(String id, double nowMs) {
        return falseAlarms.containsKey(id) && alarms(id, nowMs)[0] >= settings.falseAlarmsMost();
    }

    private void suspicions(double nowMs) {
        for (Member m : members.values()) {
            if (m.suspicion != null && nowMs >= m.suspicion.endMs()) {
                set(m, State.DEAD, m.incarnation, nowMs);
            }
        }
    }

    /** Says anew that it is there, by a new incarnation: what it said before is not to be believed for long. */
    public void renew() {
        refute(self.incarnation, false);
    }

    private void refute(long incarnation, boolean late) {
        self.incarnation = Math.max(self.incarnation, incarnation) + 1;
        self.alive = saidOf(self, State.ALIVE);
        // a liar's word must not slow this member
        health(late ? 1 : 0);
        news.add(self.alive);
    }

    private void set(Member m, State state, long incarnation, double nowMs) {
        State before = m.state;
        m.incarnation = incarnation;
        m.suspicion = null;
        m.whisperer = null;
        if (m.state != state) {
            m.state = state;
            m.sinceMs = nowMs;
            listener.changed(m.id, before, state, incarnation);
        }
    }

    // --- What goes out ---

    /**
     * Updates for one message; to a suspected member first what it must refute (Lifeguard, 4.C), and what it last said itself:
     * it may have begun a new life since.
     */
    private List<Update> carried(Member to) {
        int times = (int) Math.ceil(settings.retransmitMult() * Math.log10(present() + 1));
        boolean first = settings.buddy() && to != null && to.state == State.SUSPECT;
        List<Update> rest = news.take(settings.updatesMost() - (first ? 2 : 0), times);
        if (!first) {
            return rest;
        }
        List<Update> result = new ArrayList<>(rest.size() + 2);
        result.add(to.alive);
        result.add(saidOf(to, State.SUSPECT));
        result.addAll(rest);
        return result;
    }

    /** A sum over present members, their incarnations and addresses, in any order (FNV-1a of each). */
    private long sum() {
        long result = 0;
        for (Member m : members.values()) {
            if (m.present()) {
                long hash = 0xcbf29ce484222325L;
                for (String part : List.of(m.id, m.address)) {
                    for (int i = 0; i < part.length(); i++) {
                        hash = (hash ^ part.charAt(i)) * 0x100000001b3L;
                    }
                    hash = (hash ^ 0xff) * 0x100000001b3L;
                }
                for (int shift = 0; shift < 64; shift += 8) {
                    hash = (hash ^ (m.incarnation >>> shift & 0xff)) * 0x100000001b3L;
                }
                result += hash;
            }
        }
        return result;
    }

    private List<Update> all() {
        List<Update> result = new ArrayList<>(members.size());
        for (Member m : members.values()) {
            result.add(m.alive);
            if (m.state == State.SUSPECT || m.state == State.DEAD) {
                // what an exchange says of the dead is a suspicion: the member may be on the other side, and live
                result.add(saidOf(m, State.SUSPECT));
            }
        }
        return result;
    }

    /** Some present members, none twice, without this one and {@code but}. */
    private List<Member> some(int most, Member but) {
        List<Member> result = new ArrayList<>();
        for (Member m : members.values()) {
            if (m != self && m != but && m.present()) {
                result.add(m);
            }
        }
        for (int i = 0; i < Math.min(most, result.size()); i++) {
            int k = i + random.nextInt(result.size() - i);
            result.set(i, result.set(k, result.get(i)));
        }
        return result.size() > most ? result.subList(0, most) : result;
    }
}
