package calicovale.rehearsal.run;

import calicovale.protocols.json.Documents;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.tape.TrafficRecording;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulated operators of a rehearsal. They send programme changes and withdrawals to managers at the times of the
 * day, retry while a manager is unreachable, and mark in the recording when a manager accepted one.
 */
public final class Operators implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Operators.class);
    /** Timeout for connecting to a manager, and for a whole request. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    /** Delay before a request that failed is sent again, in ms. */
    private static final long RETRY_INTERVAL_MS = 200;
    /** Maximum number of retries of one request. */
    private static final int MAX_RETRIES = 50;
    /** Validity in ms, from its start, of a change whose start is relative to the time of sending. */
    private static final double CHANGE_VALIDITY_MS = 600_000;

    private final Rehearsal rehearsal;
    private final TrafficRecording recording;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(body -> {
        Thread thread = new Thread(body, "operators");
        thread.setDaemon(true);
        return thread;
    });

    /** Creates the operators of a rehearsal that has started. */
    public Operators(Rehearsal rehearsal, TrafficRecording recording) {
        this.rehearsal = rehearsal;
        this.recording = recording;
    }

    /** Schedules the changes of the day; their times count from now. */
    public void schedule(List<Day.ScriptedChange> scriptedChanges) {
        for (Day.ScriptedChange scripted : scriptedChanges) {
            executor.schedule(() -> sendChange(scripted), Math.round(1000 * scripted.atS()), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends a change or withdrawal to its managers now. Returns after one request to each; requests to managers that
     * were unreachable are retried in the background.
     */
    public void sendChange(Day.ScriptedChange scripted) {
        List<Integer> targets = scripted.managers().isEmpty()
                ? IntStream.range(0, rehearsal.managers().size()).boxed().toList()
                : scripted.managers();
        ObjectNode change = scripted.change() == null ? null : scripted.change().deepCopy();
        if (change != null && !Double.isNaN(scripted.startsInS())) {
            double startAtMs = System.currentTimeMillis() + 1000 * scripted.startsInS();
            change.putObject("start").put("atMs", startAtMs);
            change.put("validUntilMs", startAtMs + CHANGE_VALIDITY_MS);
        }
        for (int managerNumber : targets) {
            sendChange(managerNumber, change, scripted.withdrawId(), 0);
        }
    }

    private void sendChange(int managerNumber, ObjectNode change, String withdrawId, int retries) {
        try {
            URI uri = URI.create("http://127.0.0.1:"
                    + rehearsal.managers().get(managerNumber).operatorsAddress().getPort() + "/v1/changes"
                    + (change == null ? "/" + withdrawId : ""));
            HttpRequest.Builder request = HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT);
            HttpRequest httpRequest = change == null
                    ? request.DELETE().build()
                    : request.POST(HttpRequest.BodyPublishers.ofString(change.toString()))
                            .build();
            HttpResponse<String> response = client.send(httpRequest, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() < 300) {
                ObjectNode detail = Documents.MAPPER.createObjectNode().put("wallMs", System.currentTimeMillis());
                if (change == null) {
                    detail.put("id", withdrawId);
                } else {
                    detail.set("change", change);
                }
                recording.mark(
                        change == null ? "change-withdrawn" : "change-told",
                        "manager:" + managerNumber,
                        detail.toString());
                return;
            }
            LOG.warn(
                    "manager {} refused a programme change with status {}: {}",
                    managerNumber,
                    response.statusCode(),
                    response.body());
            if (response.statusCode() != 503) {
                return;
            }
        } catch (IOException | IllegalStateException e) {
            LOG.info(
                    "manager {} could not be reached for a programme change: {}",
                    managerNumber,
                    e.getMessage() == null ? "connection failed" : e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        if (retries < MAX_RETRIES) {
            executor.schedule(
                    () -> sendChange(managerNumber, change, withdrawId, retries + 1),
                    RETRY_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
