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

/** A group of members with sockets, keys and a roster of their own, each on its own event loop. */
final class Group implements AutoCloseable {
    /** Upper bound of a wait, in ms. It is long because no passing test depends on it. */
    private static final long AWAIT_TIMEOUT_MS = 40_000;

    /** One member's process. */
    final class Instance {
        final String id;
        final SkewedClock clock = new SkewedClock(Clock.system(), 0);
        final Map<Long, Double> evidence = new ConcurrentHashMap<>();
        EventLoop loop;
        GossipNode node;
        InetSocketAddress boundAddress;

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
            GossipNode startedNode = node;
            // A given port may be in use by a connection for a moment.
            await("the port is free", () -> {
                try {
                    boundAddress = loop.call(startedNode::start);
                    return true;
                } catch (IllegalStateException e) {
                    return false;
                }
            });
            loop.call(() -> {
                node.setNetworkConditions(Group.this.networkConditions);
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

        <T> T callOnLoop(Function<GossipNode, T> body) {
            return loop.call(() -> body.apply(node));
        }

        State view(String memberId) {
            return callOnLoop(node -> node.membership().state(memberId));
        }

        long count(String name) {
            return callOnLoop(node -> node.counters().getOrDefault(name, 0L));
        }

        void recordOutcome(long box, Claim.Kind kind) {
            callOnLoop(node -> {
                node.recordOutcome(box, kind);
                return true;
            });
        }
    }

    final Path folder;
    final Path roster;
    final Map<String, Instance> instances = new LinkedHashMap<>();
    final SplittableRandom random = new SplittableRandom(1);
    private final String[] extraSettings;
    private final boolean certificates;
    volatile NetworkConditions networkConditions = NetworkConditions.NO_FAULTS;
    private final List<String> authority;

    /**
     * Creates the keys and processes of a group. {@code extraSettings} are keys of the settings, each followed by its
     * value in JSON.
     */
    Group(Path folder, int members, boolean certificates, String... extraSettings) throws Exception {
        this.folder = folder;
        this.extraSettings = extraSettings;
        this.certificates = certificates;
        roster = Files.createDirectories(folder.resolve("roster"));
        authority = KeyDocuments.generate("operators");
        for (int i = 0; i < members; i++) {
            newKey("m" + i);
            instances.put("m" + i, new Instance("m" + i));
        }
    }

    /** Creates a key for a member and adds it to the roster; earlier keys stay valid. */
    void newKey(String member) throws IOException, GeneralSecurityException, InvalidDocumentException {
        List<String> documents = KeyDocuments.generate(member);
        String key =
                Documents.MAPPER.readTree(documents.get(0)).get("publicKey").asText();
        String name = member + "-" + Integer.toHexString(key.hashCode()) + ".json";
        if (certificates) {
            Path file = folder.resolve("operators.json");
            Files.writeString(file, authority.get(0));
            long now = System.currentTimeMillis();
            Files.writeString(
                    roster.resolve(name),
                    KeyDocuments.certificate(
                            KeyDocuments.readKeyPair(file).privateKey(),
                            "test",
                            member,
                            java.util.Base64.getUrlDecoder().decode(key),
                            now - 60_000,
                            now + 3_600_000));
        } else {
            Files.writeString(roster.resolve(name), documents.get(1));
        }
        Path next = folder.resolve(member + ".next");
        Files.writeString(next, documents.get(0));
        Files.move(next, folder.resolve(member + ".key"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    GossipSettings settings(String member, int port, List<String> seeds) throws InvalidDocumentException {
        try {
            ObjectNode document = (ObjectNode) Documents.MAPPER.readTree("""
                    {"group": "test", "probeMs": 200, "timeoutMs": 90, "newsMs": 40, "exchangeMs": 1500, "rosterMs": 200,
                     "connectionMs": 1000, "claims": {"believedMs": 50}}""");
            document.put("member", member)
                    .put("keyFile", folder.resolve(member + ".key").toString())
                    .put("rosterFolder", roster.toString());
            if (certificates) {
                document.put(
                        "authority",
                        Documents.MAPPER
                                .readTree(authority.get(0))
                                .get("publicKey")
                                .asText());
            }
            document.putObject("listen").put("host", "127.0.0.1").put("port", port);
            seeds.forEach(document.putArray("seeds")::add);
            for (int i = 0; i < extraSettings.length; i += 2) {
                document.set(extraSettings[i], Documents.MAPPER.readTree(extraSettings[i + 1]));
            }
            return GossipSettings.parse("settings", document);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    Instance instance(int number) {
        return instances.get("m" + number);
    }

    /** Starts all members that are not running; they join through those that are, or through the first. */
    void startAll() {
        List<String> seeds = new ArrayList<>();
        instances.values().stream()
                .filter(Instance::running)
                .forEach(instance -> seeds.add("127.0.0.1:" + instance.boundAddress.getPort()));
        for (Instance instance : instances.values()) {
            if (!instance.running()) {
                instance.start(List.copyOf(seeds));
                if (seeds.isEmpty()) {
                    seeds.add("127.0.0.1:" + instance.boundAddress.getPort());
                }
            }
        }
        awaitAgreement();
    }

    /**
     * Returns whether every running member sees exactly the running members as present, and none of them as suspected.
     */
    boolean agreed() {
        List<String> running = instances.values().stream()
                .filter(Instance::running)
                .map(instance -> instance.id)
                .toList();
        for (String id : running) {
            boolean agrees = instances.get(id).callOnLoop(node -> {
                for (Membership.Member member : node.membership().members()) {
                    if (member.isPresent() != running.contains(member.id()) || member.state() == State.SUSPECT) {
                        return false;
                    }
                }
                return node.membership().presentCount() == running.size();
            });
            if (!agrees) {
                return false;
            }
        }
        return true;
    }

    void awaitAgreement() {
        await("all agree", this::agreed);
    }

    /** Returns whether all running members other than the given one see it in a state. */
    boolean allSee(String memberId, State state) {
        return instances.values().stream()
                .filter(instance -> instance.running() && !instance.id.equals(memberId))
                .allMatch(instance -> instance.view(memberId) == state);
    }

    /** Returns how often a running member has declared a member dead. */
    long deadTransitions() {
        return instances.values().stream()
                .filter(Instance::running)
                .mapToLong(instance -> instance.count("members-dead"))
                .sum();
    }

    void setNetworkConditions(NetworkConditions conditions) {
        networkConditions = conditions;
        instances.values().stream()
                .filter(Instance::running)
                .forEach(instance -> instance.callOnLoop(node -> {
                    node.setNetworkConditions(conditions);
                    return true;
                }));
    }

    String address(int number) {
        return "127.0.0.1:" + instance(number).boundAddress.getPort();
    }

    static void await(String what, BooleanSupplier state) {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000;
        while (!state.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, what + ": not within " + AWAIT_TIMEOUT_MS + " ms");
            pause(10);
        }
    }

    /** Lets the group run on for a time; what is checked afterwards must hold however long it was. */
    static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        instances.values().stream().filter(Instance::running).forEach(Instance::kill);
    }
}
