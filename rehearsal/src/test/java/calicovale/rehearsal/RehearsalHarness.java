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

/** Runs a small rehearsal in which the test acts as the viewers, with the JDK's HTTP client. */
final class RehearsalHarness implements AutoCloseable {
    /** Upper bound of each wait, in ms. It is generous because only a failing test waits that long. */
    private static final long AWAIT_TIMEOUT_MS = 30_000;

    final Rehearsal rehearsal;
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    RehearsalHarness(Path state, String... replacements) throws IOException, InvalidDocumentException {
        rehearsal = new Rehearsal(day(replacements), state);
        rehearsal.start();
    }

    /**
     * Returns the small day with some members replaced; {@code replacements} are pairs of a JSON pointer and a JSON
     * value, in turn.
     */
    static Day day(String... replacements) throws IOException, InvalidDocumentException {
        try (InputStream in = RehearsalHarness.class.getResourceAsStream("/small-day.json")) {
            ObjectNode day = (ObjectNode) Documents.MAPPER.readTree(in);
            for (int i = 0; i < replacements.length; i += 2) {
                int lastSlash = replacements[i].lastIndexOf('/');
                JsonNode parent = day.at(replacements[i].substring(0, lastSlash));
                ((ObjectNode) parent)
                        .set(replacements[i].substring(lastSlash + 1), Documents.MAPPER.readTree(replacements[i + 1]));
            }
            return Day.parse("small", day.toString());
        }
    }

    static Day.Fault fault(String kind, double seconds, double value, Integer... boxes) {
        return new Day.Fault(kind, 0, seconds, List.of(boxes), 0, 0, value, false);
    }

    static void await(String condition, BooleanSupplier isMet) {
        long deadlineNs = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000;
        while (!isMet.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "never: " + condition);
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Waits for the first matching entry in the recording and returns it. */
    Entry awaitEntry(String description, Predicate<Entry> matches) {
        Entry[] found = new Entry[1];
        await(description, () -> {
            found[0] = rehearsal.recording().entries().stream()
                    .filter(matches)
                    .findFirst()
                    .orElse(null);
            return found[0] != null;
        });
        return found[0];
    }

    URI uri(String path) {
        return uri(0, path);
    }

    URI uri(int manager, String path) {
        InetSocketAddress address = rehearsal.managerAddresses().get(manager);
        return URI.create("http://127.0.0.1:" + address.getPort() + path);
    }

    CompletableFuture<HttpResponse<String>> requestLectureAsync(String sessionClass, String viewer) {
        HttpRequest request = HttpRequest.newBuilder(
                        uri("/v1/lectures/t1/index.m3u8?class=" + sessionClass + "&viewer=" + viewer + "&try=1"))
                .timeout(Duration.ofSeconds(20))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> requestLecture(String sessionClass, String viewer) {
        return requestLectureAsync(sessionClass, viewer).join();
    }

    /** Requests a lecture until it is admitted, because a manager sends each box few set-ups right after its start. */
    HttpResponse<String> requestLectureUntilAdmitted(String sessionClass, String viewer) {
        HttpResponse<String> answer = requestLecture(sessionClass, viewer);
        long deadlineNs = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000;
        for (int i = 0; answer.statusCode() != 200; i++) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out waiting for an admitted session: " + answer.body());
            answer = requestLecture(sessionClass, viewer + "-" + i);
        }
        return answer;
    }

    HttpResponse<String> requestLectureAt(int manager, String sessionClass, String viewer, String header, String value)
            throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(
                                uri(manager, "/v1/lectures/t1/index.m3u8?class=" + sessionClass + "&viewer=" + viewer))
                        .header(header, value)
                        .timeout(Duration.ofSeconds(20))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Returns the answer to a GET. Retries without a limit while the peer can't be reached, because its process may
     * be restarting.
     */
    HttpResponse<String> getWithRetry(URI uri) {
        while (true) {
            try {
                return get(uri);
            } catch (IOException e) {
                sleepBeforeRetry();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Announces or withdraws a change at managers as operators of a day do, with its mark in the recording. */
    void announce(Day.ScriptedChange scriptedChange) {
        try (Operators operators = new Operators(rehearsal, rehearsal.recording())) {
            operators.sendChange(scriptedChange);
        }
    }

    /** Kills a manager and waits until its next process runs. */
    void killManager(int manager) {
        var killed = rehearsal.managers().get(manager);
        rehearsal.injectFault(new Day.Fault("manager-kill", 0, 0.05, List.of(), 0, manager, 0, false));
        await("the manager's new process", () -> rehearsal.managers().get(manager) != killed);
        rehearsal.managers().get(manager).address();
    }

    /** Returns the URIs of the segments that an EXT-X-DATERANGE marks as a piece's. */
    List<String> pieceSegments(String playlist) {
        PlaylistRules rules = new PlaylistRules();
        assertTrue(rules.checkNext(playlist).isEmpty());
        return rules.segments().stream()
                .filter(x -> rules.ranges().values().stream()
                        .anyMatch(r ->
                                x.dateMs() >= r.startMs() - 3 && x.dateMs() < r.startMs() + 1000 * r.durationS() - 3))
                .map(PlaylistRules.Segment::uri)
                .toList();
    }

    HttpResponse<String> get(URI uri) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the path of the session's media playlist from the answer to its first request. */
    static String mediaPath(HttpResponse<String> first) {
        return first.body()
                .lines()
                .filter(line -> line.startsWith("/s/"))
                .findFirst()
                .orElseThrow();
    }

    static List<String> segmentUris(String playlist) {
        return playlist.lines().filter(line -> line.startsWith("http://")).toList();
    }

    /** Returns the index of the box that a segment's URI names. */
    int boxOf(String segment) {
        int port = URI.create(segment).getPort();
        for (int i = 0; i < rehearsal.boxes().size(); i++) {
            int boxIndex = i;
            if (rehearsal.callOnBox(boxIndex, box -> box.address().getPort()) == port) {
                return i;
            }
        }
        throw new IllegalStateException("no box at " + segment);
    }

    long counter(String name) {
        return rehearsal.counters().getOrDefault(name, 0L);
    }

    /** Ends the rehearsal and returns its report; fails when a rule is broken. */
    Report finishAndAssertRulesKept() {
        rehearsal.stop();
        Report report = rehearsal.report();
        assertTrue(report.allRulesKept(), report.table());
        return report;
    }

    @Override
    public void close() {
        rehearsal.stop();
    }
}
