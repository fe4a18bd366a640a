package calicovale.rehearsal.bench;

import calicovale.gossip.member.Update.State;
import calicovale.gossip.net.GossipNode;
import calicovale.gossip.net.GossipSettings;
import calicovale.gossip.net.KeyDocuments;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Owns the measurement of groups with real sockets on loopback, in the same quantities as the simulated ones. */
final class MembersBench {
    private static final int LOOPS = 6;
    private static final long QUIET_MS = 20_000;
    private static final long BOUND_MS = 120_000;
    private final GossipBench.Sink sink;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<GossipNode> nodes = new ArrayList<>();

    MembersBench(GossipBench.Sink sink) {
        this.sink = sink;
    }

    private EventLoop loop(int member) {
        return loops.get(member % LOOPS);
    }

    private void start(Path folder, int members)
            throws IOException, GeneralSecurityException, InvalidDocumentException {
        Path roster = Files.createDirectories(folder.resolve("roster"));
        for (int i = 0; i < members; i++) {
            List<String> made = KeyDocuments.generate("m" + i);
            Files.writeString(folder.resolve("m" + i + ".key"), made.get(0));
            Files.writeString(roster.resolve("m" + i + ".json"), made.get(1));
        }
        SplittableRandom random = new SplittableRandom(members);
        for (int i = 0; i < LOOPS; i++) {
            loops.add(new EventLoop("members-" + i, Clock.system()).start());
        }
        String seed = null;
        for (int i = 0; i < members; i++) {
            ObjectNode n = Documents.MAPPER
                    .createObjectNode()
                    .put("group", "bench")
                    .put("member", "m" + i)
                    .put("keyFile", folder.resolve("m" + i + ".key").toString())
                    .put("rosterFolder", roster.toString());
            n.putObject("listen").put("host", "127.0.0.1").put("port", 0);
            n.putArray("seeds").add(seed == null ? "127.0.0.1:1" : seed);
            GossipNode node = new GossipNode(
                    loop(i), GossipSettings.parse("bench", n), random.split(), 100, (box, strength) -> {});
            nodes.add(node);
            InetSocketAddress at = loop(i).call(node::start);
            seed = seed == null ? "127.0.0.1:" + at.getPort() : seed;
        }
    }

    private boolean all(int but, Predicate<GossipNode> state) {
        for (int i = 0; i < nodes.size(); i++) {
            int member = i;
            if (i != but && !loop(i).call(() -> state.test(nodes.get(member)))) {
                return false;
            }
        }
        return true;
    }

    private static void await(String what, java.util.function.BooleanSupplier state) throws InterruptedException {
        long until = System.nanoTime() + BOUND_MS * 1_000_000;
        while (!state.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("never: " + what);
            }
            Thread.sleep(20);
        }
    }

    private long[] sent() {
        long[] result = new long[2];
        for (int i = 0; i < nodes.size(); i++) {
            GossipNode node = nodes.get(i);
            var counts = loop(i).call(node::counters);
            result[0] += counts.getOrDefault("sent", 0L) + counts.getOrDefault("connected", 0L);
            result[1] += counts.getOrDefault("sent-bytes", 0L);
        }
        return result;
    }

    /** One group of a size. */
    void run(int members) throws Exception {
        Path folder = Files.createTempDirectory("calicovale-members");
        try {
            long from = System.nanoTime();
            start(folder, members);
            await("all know each other", () -> all(-1, n -> n.membership().presentCount() == members));
            sink.tell("loopback: ms until all " + members + " know each other", (System.nanoTime() - from) / 1e6);
            // the news of the joining has to die out before a group is quiet
            Thread.sleep(QUIET_MS / 4);
            long[] before = sent();
            from = System.nanoTime();
            Thread.sleep(QUIET_MS);
            long[] after = sent();
            double seconds = (System.nanoTime() - from) / 1e9;
            sink.tell(
                    "loopback: messages a second for a member of " + members,
                    (after[0] - before[0]) / seconds / members);
            sink.tell(
                    "loopback: bytes a second for a member of " + members, (after[1] - before[1]) / seconds / members);
            GossipNode one = nodes.get(1);
            loop(1).call(() -> {
                one.close();
                return true;
            });
            from = System.nanoTime();
            await("one suspects it", () -> !all(1, n -> n.membership().state("m1") == State.ALIVE));
            sink.tell("loopback: ms to the first suspicion in " + members, (System.nanoTime() - from) / 1e6);
            await("one sees it dead", () -> !all(1, n -> n.membership().state("m1") != State.DEAD));
            sink.tell("loopback: ms to the first detection in " + members, (System.nanoTime() - from) / 1e6);
            await("all see it dead", () -> all(1, n -> n.membership().state("m1") == State.DEAD));
            sink.tell("loopback: ms to the last detection in " + members, (System.nanoTime() - from) / 1e6);
        } finally {
            loops.forEach(EventLoop::close);
            nodes.forEach(GossipNode::close);
            loops.clear();
            nodes.clear();
        }
    }
}
