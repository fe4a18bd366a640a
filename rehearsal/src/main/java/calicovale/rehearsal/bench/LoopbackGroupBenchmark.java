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

/**
 * Benchmark of groups with real sockets on loopback. Its figures correspond to the simulated ones of
 * {@link GossipBenchmark}.
 */
final class LoopbackGroupBenchmark {
    /** Number of event loops that the members share. */
    private static final int EVENT_LOOPS = 6;
    /** Duration of the traffic measurement in a group without changes, in ms. */
    private static final long IDLE_MEASUREMENT_MS = 20_000;
    /** Time after which an awaited condition counts as failed, in ms. */
    private static final long TIMEOUT_MS = 120_000;

    private final GossipBenchmark.FigureSink figures;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<GossipNode> nodes = new ArrayList<>();

    LoopbackGroupBenchmark(GossipBenchmark.FigureSink figures) {
        this.figures = figures;
    }

    private EventLoop loop(int member) {
        return loops.get(member % EVENT_LOOPS);
    }

    private void start(Path folder, int members)
            throws IOException, GeneralSecurityException, InvalidDocumentException {
        Path roster = Files.createDirectories(folder.resolve("roster"));
        for (int i = 0; i < members; i++) {
            List<String> documents = KeyDocuments.generate("m" + i);
            Files.writeString(folder.resolve("m" + i + ".key"), documents.get(0));
            Files.writeString(roster.resolve("m" + i + ".json"), documents.get(1));
        }
        SplittableRandom random = new SplittableRandom(members);
        for (int i = 0; i < EVENT_LOOPS; i++) {
            loops.add(new EventLoop("members-" + i, Clock.system()).start());
        }
        String seed = null;
        for (int i = 0; i < members; i++) {
            ObjectNode settings = Documents.MAPPER
                    .createObjectNode()
                    .put("group", "bench")
                    .put("member", "m" + i)
                    .put("keyFile", folder.resolve("m" + i + ".key").toString())
                    .put("rosterFolder", roster.toString());
            settings.putObject("listen").put("host", "127.0.0.1").put("port", 0);
            settings.putArray("seeds").add(seed == null ? "127.0.0.1:1" : seed);
            GossipNode node = new GossipNode(
                    loop(i), GossipSettings.parse("bench", settings), random.split(), 100, (box, strength) -> {});
            nodes.add(node);
            InetSocketAddress address = loop(i).call(node::start);
            seed = seed == null ? "127.0.0.1:" + address.getPort() : seed;
        }
    }

    /** Returns whether a condition holds for all members but one; -1 excludes none. */
    private boolean allMatch(int excluded, Predicate<GossipNode> condition) {
        for (int i = 0; i < nodes.size(); i++) {
            int member = i;
            if (i != excluded && !loop(i).call(() -> condition.test(nodes.get(member)))) {
                return false;
            }
        }
        return true;
    }

    private static void await(String description, java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("never: " + description);
            }
            Thread.sleep(20);
        }
    }

    /** Returns the messages (datagrams and connections) and the bytes that all members have sent. */
    private long[] sentTotals() {
        long[] result = new long[2];
        for (int i = 0; i < nodes.size(); i++) {
            GossipNode node = nodes.get(i);
            var counts = loop(i).call(node::counters);
            result[0] += counts.getOrDefault("sent", 0L) + counts.getOrDefault("connected", 0L);
            result[1] += counts.getOrDefault("sent-bytes", 0L);
        }
        return result;
    }

    /** Runs the benchmark with a group of the given number of members. */
    void run(int members) throws Exception {
        Path folder = Files.createTempDirectory("calicovale-members");
        try {
            long startNanos = System.nanoTime();
            start(folder, members);
            await("all know each other", () -> allMatch(-1, n -> n.membership().presentCount() == members));
            figures.report(
                    "loopback: ms until all " + members + " know each other", (System.nanoTime() - startNanos) / 1e6);
            // the updates about the joins must have been disseminated before the group is idle
            Thread.sleep(IDLE_MEASUREMENT_MS / 4);
            long[] totalsBefore = sentTotals();
            startNanos = System.nanoTime();
            Thread.sleep(IDLE_MEASUREMENT_MS);
            long[] totalsAfter = sentTotals();
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            figures.report(
                    "loopback: messages a second for a member of " + members,
                    (totalsAfter[0] - totalsBefore[0]) / seconds / members);
            figures.report(
                    "loopback: bytes a second for a member of " + members,
                    (totalsAfter[1] - totalsBefore[1]) / seconds / members);
            GossipNode closed = nodes.get(1);
            loop(1).call(() -> {
                closed.close();
                return true;
            });
            startNanos = System.nanoTime();
            await("one suspects it", () -> !allMatch(1, n -> n.membership().state("m1") == State.ALIVE));
            figures.report("loopback: ms to the first suspicion in " + members, (System.nanoTime() - startNanos) / 1e6);
            await("one sees it dead", () -> !allMatch(1, n -> n.membership().state("m1") != State.DEAD));
            figures.report("loopback: ms to the first detection in " + members, (System.nanoTime() - startNanos) / 1e6);
            await("all see it dead", () -> allMatch(1, n -> n.membership().state("m1") == State.DEAD));
            figures.report("loopback: ms to the last detection in " + members, (System.nanoTime() - startNanos) / 1e6);
        } finally {
            loops.forEach(EventLoop::close);
            nodes.forEach(GossipNode::close);
            loops.clear();
            nodes.clear();
        }
    }
}
