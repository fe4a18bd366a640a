package calicovale.gossip.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.member.Membership;
import calicovale.gossip.member.Update.State;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.SkewedClock;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** Owns a group of members with sockets, keys and a roster of their own, each on its own loop. */
final class Group implements AutoCloseable {
    /** Generous: no verdict hangs on it, only a failure takes that long. */
    private static final long BOUND_MS = 40_000;

    /** One member's process. */
    final class Instance {
        final String id;
        final SkewedClock clock = new SkewedClock(Clock.system(), 0);
        final Map<Long, Double> evidence = new ConcurrentHashMap<>();
        EventLoop loop;
        GossipNode node;
        InetSocketAddress at;

        Instance(String id) {
            this.id = id;
        }

        void start(List<String> seeds) {
            start(seeds, 0);
        }

        void start(List<String> seeds, int port) {
            loop = new EventLoop(id, clock).start();
            evidence.clear();
            try {
                node = new GossipNode(loop, settings(id, port, seeds), random.split(), 100, (box, strength) -> {
                    if (strength == 0) {
                        evidence.remove(box);
                    } else {
                        evidence.put(box, strength);
                    }
                });
            } catch (InvalidDocumentException e) {
                throw new IllegalStateException(e);
            }
            GossipNode begun = node;
            // a port that was named may be a connection's for a moment
            await("a port", () -> {
                try {
                    at = loop.call(begun::start);
                    return true;
                } catch (IllegalStateException e) {
                    return false;
                }
            });
            loop.call(() -> {
                node.weather(Group.this.weather);
                return true;
            });
        }

        void kill() {
            loop.kill();
            node.close();
            loop = null;
        }

        boolean running() {
            return loop != null;
        }

        <T> T ask(Function<GossipNode, T> body) {
            return loop.call(() -> body.apply(node));
        }

        State view(String of) {
            return ask(n -> n.membership().state(of));
        }

        long count(String name) {
            return ask(n -> n.counters().getOrDefault(name, 0L));
        }

        void saw(long box, Claim.Kind kind) {
            ask(n -> {
                n.saw(box, kind);
                return true;
            });
        }
    }

    final Path folder;
    final Path roster;
    final Map<String, Instance> instances = new LinkedHashMap<>();
    final SplittableRandom random = new SplittableRandom(1);
    private final String[] more;
    private final boolean certificates;
    volatile NetworkConditions weather = NetworkConditions.NO_FAULTS;
    private final List<String> authority;

    /** {@code more}: pairs of a member of the settings and its JSON value. */
    Group(Path folder, int members, boolean certificates, String... more) throws Exception {
        this.folder = folder;
        this.more = more;
        this.certificates = certificates;
        roster = Files.createDirectories(folder.resolve("roster"));
        authority = KeyDocuments.make("operators");
        for (int i = 0; i < members; i++) {
            newKey("m" + i);
            instances.put("m" + i, new Instance("m" + i));
        }
    }

    /** A key for a member, allowed; the first one before it stays allowed too. */
    void newKey(String member) throws IOException, GeneralSecurityException, InvalidDocumentException {
        List<String> made = KeyDocuments.make(member);
        String key = Documents.MAPPER.readTree(made.get(0)).get("publicKey").asText();
        String name = member + "-" + Integer.toHexString(key.hashCode()) + ".json";
        if (certificates) {
            Path file = folder.resolve("operators.json");
            Files.writeString(file, authority.get(0));
            long now = System.currentTimeMillis();
            Files.writeString(
                    roster.resolve(name),
                    KeyDocuments.certificate(
                            KeyDocuments.pair(file).privateKey(),
                            "test",
                            member,
                            java.util.Base64.getUrlDecoder().decode(key),
                            now - 60_000,
                            now + 3_600_000));
        } else {
            Files.writeString(roster.resolve(name), made.get(1));
        }
        Path next = folder.resolve(member + ".next");
        Files.writeString(next, made.get(0));
        Files.move(next, folder.resolve(member + ".key"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    GossipSettings settings(String member, int port, List<String> seeds) throws InvalidDocumentException {
        try {
            ObjectNode n = (ObjectNode) Documents.MAPPER.readTree("""
                    {"group": "test", "probeMs": 200, "timeoutMs": 90, "newsMs": 40, "exchangeMs": 1500, "rosterMs": 200,
                     "connectionMs": 1000, "claims": {"believedMs": 50}}""");
            n.put("member", member)
                    .put("keyFile", folder.resolve(member + ".key").toString())
                    .put("rosterFolder", roster.toString());
            if (certificates) {
                n.put(
                        "authority",
                        Documents.MAPPER
                                .readTree(authority.get(0))
                                .get("publicKey")
                                .asText());
            }
            n.putObject("listen").put("host", "127.0.0.1").put("port", port);
            seeds.forEach(n.putArray("seeds")::add);
            for (int i = 0; i < more.length; i += 2) {
                n.set(more[i], Documents.MAPPER.readTree(more[i + 1]));
            }
            return GossipSettings.parse("settings", n);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    Instance of(int number) {
        return instances.get("m" + number);
    }

    /** Starts all that do not run; they join by the first, and by all that were there before. */
    void startAll() {
        List<String> seeds = new ArrayList<>();
        instances.values().stream().filter(Instance::running).forEach(i -> seeds.add("127.0.0.1:" + i.at.getPort()));
        for (Instance i : instances.values()) {
            if (!i.running()) {
                i.start(List.copyOf(seeds));
                if (seeds.isEmpty()) {
                    seeds.add("127.0.0.1:" + i.at.getPort());
                }
            }
        }
        awaitAgreement();
    }

    /** Every running member takes every running one for alive and no other for present. */
    boolean agreed() {
        List<String> running = instances.values().stream()
                .filter(Instance::running)
                .map(i -> i.id)
                .toList();
        for (String id : running) {
            boolean well = instances.get(id).ask(n -> {
                for (Membership.Member m : n.membership().members()) {
                    if (m.isPresent() != running.contains(m.id()) || m.state() == State.SUSPECT) {
                        return false;
                    }
                }
                return n.membership().present() == running.size();
            });
            if (!well) {
                return false;
            }
        }
        return true;
    }

    void awaitAgreement() {
        await("all agree", this::agreed);
    }

    /** Whether all running members but the one itself take it for so. */
    boolean all(String of, State state) {
        return instances.values().stream()
                .filter(i -> i.running() && !i.id.equals(of))
                .allMatch(i -> i.view(of) == state);
    }

    /** Times that any running member took any for dead. */
    long deaths() {
        return instances.values().stream()
                .filter(Instance::running)
                .mapToLong(i -> i.count("members-dead"))
                .sum();
    }

    void weather(NetworkConditions next) {
        weather = next;
        instances.values().stream()
                .filter(Instance::running)
                .forEach(i -> i.ask(n -> {
                    n.weather(next);
                    return true;
                }));
    }

    String address(int number) {
        return "127.0.0.1:" + of(number).at.getPort();
    }

    static void await(String what, BooleanSupplier state) {
        long until = System.nanoTime() + BOUND_MS * 1_000_000;
        while (!state.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "never: " + what);
            pause(10);
        }
    }

    /** Lets the group run on; what is judged afterwards must hold however long it was. */
    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        instances.values().stream().filter(Instance::running).forEach(Instance::kill);
    }
}
