package calicovale.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.judge.PlaylistRules;
import calicovale.rehearsal.judge.Report;
import calicovale.rehearsal.run.Operators;
import calicovale.rehearsal.run.Rehearsal;
import calicovale.rehearsal.tape.Entry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Owns a small rehearsal whose viewers are the test itself, with the JDK's own HTTP client. */
final class Stage implements AutoCloseable {
    /** Generous: no verdict hangs on it, only a failure takes that long. */
    private static final long BOUND_MS = 30_000;

    final Rehearsal run;
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Stage(Path state, String... changes) throws IOException, InvalidDocumentException {
        run = new Rehearsal(day(changes), state);
        run.start();
    }

    /** The small day with members set: pairs of a JSON pointer and a JSON value. */
    static Day day(String... changes) throws IOException, InvalidDocumentException {
        try (InputStream in = Stage.class.getResourceAsStream("/small-day.json")) {
            ObjectNode n = (ObjectNode) Documents.MAPPER.readTree(in);
            for (int i = 0; i < changes.length; i += 2) {
                int cut = changes[i].lastIndexOf('/');
                JsonNode parent = n.at(changes[i].substring(0, cut));
                ((ObjectNode) parent).set(changes[i].substring(cut + 1), Documents.MAPPER.readTree(changes[i + 1]));
            }
            return Day.parse("small", n.toString());
        }
    }

    static Day.Fault fault(String kind, double lasts, double value, Integer... boxes) {
        return new Day.Fault(kind, 0, lasts, List.of(boxes), 0, 0, value, false);
    }

    static void await(String what, BooleanSupplier state) {
        long until = System.nanoTime() + BOUND_MS * 1_000_000;
        while (!state.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "never: " + what);
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Waits for an entry on the tape. */
    Entry awaitEntry(String what, Predicate<Entry> sought) {
        Entry[] found = new Entry[1];
        await(what, () -> {
            found[0] = run.tape().entries().stream().filter(sought).findFirst().orElse(null);
            return found[0] != null;
        });
        return found[0];
    }

    URI at(String path) {
        return at(0, path);
    }

    URI at(int manager, String path) {
        InetSocketAddress a = run.addresses().get(manager);
        return URI.create("http://127.0.0.1:" + a.getPort() + path);
    }

    CompletableFuture<HttpResponse<String>> askAsync(String k, String viewer) {
        HttpRequest request = HttpRequest.newBuilder(
                        at("/v1/lectures/t1/index.m3u8?class=" + k + "&viewer=" + viewer + "&try=1"))
                .timeout(Duration.ofSeconds(20))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> ask(String k, String viewer) {
        return askAsync(k, viewer).join();
    }

    /** A manager that just started sends each box little: who is refused asks again. */
    HttpResponse<String> askUntilItPlays(String k, String viewer) {
        HttpResponse<String> answer = ask(k, viewer);
        long until = System.nanoTime() + BOUND_MS * 1_000_000;
        for (int i = 0; answer.statusCode() != 200; i++) {
            assertTrue(System.nanoTime() < until, "never plays: " + answer.body());
            answer = ask(k, viewer + "-" + i);
        }
        return answer;
    }

    HttpResponse<String> askAt(int manager, String k, String viewer, String header, String value)
            throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(at(manager, "/v1/lectures/t1/index.m3u8?class=" + k + "&viewer=" + viewer))
                        .header(header, value)
                        .timeout(Duration.ofSeconds(20))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** An answer, or one of status 0 where the peer was not there: it may be coming back. */
    HttpResponse<String> getQuietly(URI uri) {
        while (true) {
            try {
                return get(uri);
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Operators tell managers of a change, as a day's do, and the tape hears of it. */
    void tell(Day.Telling telling) {
        try (Operators operators = new Operators(run, run.tape())) {
            operators.tell(telling);
        }
    }

    /** A manager is killed and comes back. */
    void kill(int manager) {
        var killed = run.managers().get(manager);
        run.happen(new Day.Fault("manager-kill", 0, 0.05, List.of(), 0, manager, 0, false));
        await("a new process", () -> run.managers().get(manager) != killed);
        run.managers().get(manager).address();
    }

    /** The segments of a playlist that an EXT-X-DATERANGE marks as a piece's. */
    List<String> ofPiece(String playlist) {
        PlaylistRules rules = new PlaylistRules();
        assertTrue(rules.take(playlist).isEmpty());
        return rules.segments().stream()
                .filter(x -> rules.ranges().values().stream()
                        .anyMatch(r ->
                                x.dateMs() >= r.startMs() - 3 && x.dateMs() < r.startMs() + 1000 * r.seconds() - 3))
                .map(PlaylistRules.Segment::uri)
                .toList();
    }

    HttpResponse<String> get(URI uri) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** The path of the session's media playlist from its first answer. */
    static String media(HttpResponse<String> first) {
        return first.body()
                .lines()
                .filter(line -> line.startsWith("/s/"))
                .findFirst()
                .orElseThrow();
    }

    static List<String> segments(String playlist) {
        return playlist.lines().filter(line -> line.startsWith("http://")).toList();
    }

    /** The number of the box that a segment's URI names. */
    int boxOf(String segment) {
        int port = URI.create(segment).getPort();
        for (int i = 0; i < run.boxes().size(); i++) {
            int at = i;
            if (run.atBox(at, box -> box.address().getPort()) == port) {
                return i;
            }
        }
        throw new IllegalStateException("no box at " + segment);
    }

    long counter(String name) {
        return run.counters().getOrDefault(name, 0L);
    }

    /** Ends the run; the report must break no rule. */
    Report end() {
        run.finish();
        Report report = run.report();
        assertTrue(report.kept(), report.table());
        return report;
    }

    @Override
    public void close() {
        run.finish();
    }
}
