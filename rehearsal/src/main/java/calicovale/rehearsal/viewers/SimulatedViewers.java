package calicovale.rehearsal.viewers;

import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.Timer;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.day.Day.ViewerClass;
import calicovale.rehearsal.judge.PlaylistRules.Segment;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The simulated viewers of a day, on one event loop. Each viewer requests one lecture, enforces its own deadline,
 * plays the session's playlist segment by segment, returns after a refusal or an interruption with the day's
 * probability, and leaves when its time is over. All methods other than the constructor and the counters must be
 * called on the loop.
 */
public final class SimulatedViewers {
    private static final byte[] NO_BODY = new byte[0];
    /** Minimum timeout of a playlist reload, in ms; a longer deadline of the session class replaces it. */
    private static final double MIN_RELOAD_TIMEOUT_MS = 2000;
    /** Timeout of a segment request, in ms. */
    private static final double SEGMENT_TIMEOUT_MS = 20_000;
    /**
     * Length up to which players fill their buffers, in target durations; they fetch no segment while they have more.
     */
    private static final double BUFFER_TARGET_DURATIONS = 2;

    private static final Logger LOG = LoggerFactory.getLogger(SimulatedViewers.class);

    private final EventLoop loop;
    private final Day day;
    private final RandomGenerator random;
    private final HttpClient frontClient;
    private final HttpClient segmentClient;
    private final List<InetSocketAddress> managers;
    private final double totalWeight;
    private boolean arrivalsStopped;
    private int lastViewerNumber;
    private int presentViewers;
    private long segmentsPlayed;
    private long segmentsMissed;
    private double stalledMs;
    private long stalls;
    private long stallsAtPieces;
    private long refusedPlaylists;

    /**
     * Creates the viewers of a day; none arrives before {@link #startArrivals}.
     *
     * @param managers addresses of the managers; read on the loop, and may change while the day runs
     */
    public SimulatedViewers(EventLoop loop, Day day, RandomGenerator random, List<InetSocketAddress> managers) {
        this.loop = loop;
        this.day = day;
        this.random = random;
        this.managers = managers;
        HttpLimits limits = new HttpLimits(8192, 64, 16_384, 1 << 22, 0, 5000, 30_000, 20_000, 0);
        frontClient = new HttpClient(loop, limits, 100_000, 1000);
        segmentClient = new HttpClient(loop, limits, 100_000, 1000);
        totalWeight = day.viewers().classes().stream()
                .mapToDouble(ViewerClass::relativeWeight)
                .sum();
    }

    /** Starts the arrival of viewers, which lasts for the day's seconds. */
    public void startArrivals() {
        double startMs = nowMs();
        scheduleArrivals(startMs);
    }

    /** Ends arrivals; viewers no longer return after a refusal or an interruption either. */
    public void stopArrivals() {
        arrivalsStopped = true;
    }

    /** Returns the number of viewers that have arrived and not left. */
    public int presentViewers() {
        return presentViewers;
    }

    /** Returns the number of segments received completely. */
    public long segmentsPlayed() {
        return segmentsPlayed;
    }

    /** Returns the number of segments whose request failed. */
    public long segmentsMissed() {
        return segmentsMissed;
    }

    /** Returns the total time for which buffers were empty during playback, in ms. */
    public double stalledMs() {
        return stalledMs;
    }

    /** Returns how often a buffer ran empty during playback. */
    public long stalls() {
        return stalls;
    }

    /** Returns how many of the stalls were at a segment of a piece or right after one. */
    public long stallsAtPieces() {
        return stallsAtPieces;
    }

    /** Returns the number of playlists rejected because they break a rule of the standard. */
    public long refusedPlaylists() {
        return refusedPlaylists;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private void scheduleArrivals(double startMs) {
        double elapsedS = (nowMs() - startMs) / 1000;
        if (arrivalsStopped || elapsedS > day.seconds()) {
            arrivalsStopped = true;
            return;
        }
        double arrivalsPerSecond = day.viewers().arrivalsPerSecond();
        for (Day.Surge surge : day.viewers().surges()) {
            arrivalsPerSecond *= elapsedS >= surge.startS() && elapsedS < surge.startS() + surge.durationS()
                    ? surge.rateFactor()
                    : 1;
        }
        if (arrivalsPerSecond > 0) {
            double delayMs = Math.min(1000, -Math.log(1 - random.nextDouble()) / arrivalsPerSecond * 1000);
            loop.schedule(delayMs, () -> {
                if (!arrivalsStopped) {
                    new Viewer().requestLecture(false);
                }
                scheduleArrivals(startMs);
            });
        } else {
            loop.schedule(100, () -> scheduleArrivals(startMs));
        }
    }

    private double uniformIn(double[] range) {
        return range[0] + random.nextDouble() * (range[1] - range[0]);
    }

    /** One viewer, which wants to watch one lecture. */
    private final class Viewer {
        private final int number = ++lastViewerNumber;
        private final ViewerClass viewerClass;
        private final String title;
        private final int topRung;
        private final double deadlineMs;
        private final double leaveAtMs;
        private int attempts;
        private InetSocketAddress manager;
        private String mediaPath;
        private PlayerState player;
        private boolean fetching;
        private boolean reloading;
        private Timer playbackTimer;
        /** Cookie set by a manager, sent back as a browser does (RFC 6265); null before the first. */
        private String cookie;

        private boolean left;
        /** Number of the latest request for the lecture; responses that belong to an earlier one are ignored. */
        private int generation;

        Viewer() {
            double pick = random.nextDouble() * totalWeight;
            int i = 0;
            List<ViewerClass> classes = day.viewers().classes();
            while (i + 1 < classes.size() && pick >= classes.get(i).relativeWeight()) {
                pick -= classes.get(i++).relativeWeight();
            }
            viewerClass = classes.get(i);
            int classId = day.settings().classNames().indexOf(viewerClass.name());
            var sessionClass = day.settings().controller().classes().get(classId);
            topRung = viewerClass.topRungs().isEmpty()
                    ? sessionClass.highestRung()
                    : viewerClass
                            .topRungs()
                            .get(random.nextInt(viewerClass.topRungs().size()));
            deadlineMs = sessionClass.deadlineMs();
            // the square makes low-numbered lectures far more popular than others
            double uniform = random.nextDouble();
            title = "lecture-" + (int) (uniform * uniform * day.viewers().titles());
            leaveAtMs = nowMs() + 1000 * uniformIn(viewerClass.watchTimeRangeS());
            presentViewers++;
        }

        private void leave() {
            if (!left) {
                left = true;
                presentViewers--;
            }
        }

        /** Requests the lecture from a manager chosen at random, or leaves if the viewer's time is over. */
        void requestLecture(boolean returning) {
            if (left) {
                return;
            }
            if (nowMs() >= leaveAtMs) {
                leave();
                return;
            }
            int managerNumber = random.nextInt(managers.size());
            manager = managers.get(managerNumber);
            mediaPath = null;
            player = new PlayerState(BUFFER_TARGET_DURATIONS);
            fetching = false;
            reloading = false;
            int requestGeneration = ++generation;
            String target = "/v1/lectures/" + title + "/index.m3u8?class=" + viewerClass.name() + "&top=" + topRung
                    + "&viewer=v" + number + "&try=" + ++attempts + (returning ? "&retry=1&returning=1" : "");
            boolean impatient = random.nextDouble() < day.viewers().impatientProbability();
            double timeoutMs = impatient ? uniformIn(day.viewers().impatientTimeoutRangeMs()) : deadlineMs;
            Headers headers = cookie == null ? new Headers() : new Headers().add("Cookie", cookie);
            frontClient.send(
                    manager,
                    "manager:" + managerNumber,
                    "GET",
                    target,
                    headers,
                    NO_BODY,
                    timeoutMs,
                    (head, body, failure) -> {
                        if (left || requestGeneration != generation) {
                            return;
                        }
                        if (impatient && failure == Failure.TIMEOUT) {
                            leave();
                        } else if (failure != null || head.status() != 200) {
                            returnOrLeave(retryAfterMs(head, body));
                        } else {
                            String text = new String(body, StandardCharsets.UTF_8);
                            mediaPath = text.lines()
                                    .filter(line -> !line.startsWith("#"))
                                    .findFirst()
                                    .orElse(null);
                            reloadPlaylist(requestGeneration);
                        }
                    });
        }

        private double retryAfterMs(HttpHead head, byte[] body) {
            if (head == null || head.headers().get("Retry-After") == null) {
                return 0;
            }
            try {
                return Documents.MAPPER.readTree(body).path("retryAfterMs").asDouble(1000);
            } catch (IOException e) {
                return 1000;
            }
        }

        private void returnOrLeave(double minDelayMs) {
            if (arrivalsStopped || random.nextDouble() >= day.viewers().returnProbability()) {
                leave();
                return;
            }
            loop.schedule(
                    Math.max(minDelayMs, uniformIn(day.viewers().returnDelayRangeMs())), () -> requestLecture(true));
        }

        private void reloadPlaylist(int requestGeneration) {
            if (left || requestGeneration != generation) {
                return;
            }
            if (nowMs() >= leaveAtMs) {
                leave();
                return;
            }
            reloading = true;
            frontClient.send(
                    manager,
                    "manager",
                    "GET",
                    mediaPath,
                    new Headers(),
                    NO_BODY,
                    Math.max(MIN_RELOAD_TIMEOUT_MS, deadlineMs),
                    (head, body, failure) -> {
                        if (left || requestGeneration != generation) {
                            return;
                        }
                        if (failure == null && head.status() == 503) {
                            // the session lost its box and no other has room: the same playlist is requested again
                            // after a delay
                            if (arrivalsStopped
                                    || random.nextDouble() >= day.viewers().returnProbability()) {
                                leave();
                            } else {
                                loop.schedule(
                                        Math.max(
                                                retryAfterMs(head, body),
                                                uniformIn(day.viewers().returnDelayRangeMs())),
                                        () -> reloadPlaylist(requestGeneration));
                            }
                        } else if (failure != null || head.status() != 200) {
                            returnOrLeave(0);
                        } else {
                            reloading = false;
                            String setCookie = head.headers().get("Set-Cookie");
                            cookie = setCookie == null ? cookie : setCookie.split(";", 2)[0];
                            List<String> faults =
                                    player.acceptPlaylist(new String(body, StandardCharsets.UTF_8), nowMs());
                            if (faults.isEmpty()) {
                                advancePlayback(requestGeneration);
                            } else {
                                refusedPlaylists++;
                                LOG.warn(
                                        "viewer {} leaves because its playlist breaks a rule: {}",
                                        number,
                                        faults.get(0));
                                leave();
                            }
                        }
                    });
        }

        /**
         * Does what is due: fetches the next segment if the buffer has room, reloads the playlist if its reload time
         * has come, and schedules the next call.
         */
        private void advancePlayback(int requestGeneration) {
            if (left || requestGeneration != generation) {
                return;
            }
            double nowMs = nowMs();
            if (nowMs >= leaveAtMs || player.isFinished() && !fetching) {
                leave();
                return;
            }
            Segment nextSegment = fetching ? null : player.nextSegment();
            if (nextSegment != null && nowMs >= player.bufferRoomAtMs()) {
                fetchSegment(requestGeneration, nextSegment);
            }
            if (!reloading && nowMs >= player.reloadAtMs()) {
                reloadPlaylist(requestGeneration);
            }
            double dueMs = reloading ? Double.POSITIVE_INFINITY : player.reloadAtMs();
            dueMs = fetching || player.nextSegment() == null ? dueMs : Math.min(dueMs, player.bufferRoomAtMs());
            if (playbackTimer != null) {
                playbackTimer.cancel();
            }
            playbackTimer = loop.schedule(
                    Math.max(1, Math.min(dueMs, leaveAtMs) - nowMs()), () -> advancePlayback(requestGeneration));
        }

        private void fetchSegment(int requestGeneration, Segment segment) {
            fetching = true;
            player.fetchStarted(segment);
            URI segmentUri = URI.create(segment.uri());
            InetSocketAddress boxAddress = new InetSocketAddress(segmentUri.getHost(), segmentUri.getPort());
            segmentClient.send(
                    boxAddress,
                    "segments",
                    "GET",
                    segmentUri.getRawPath(),
                    new Headers(),
                    NO_BODY,
                    SEGMENT_TIMEOUT_MS,
                    (head, body, failure) -> {
                        if (left || requestGeneration != generation) {
                            return;
                        }
                        fetching = false;
                        if (failure != null || head.status() != 200) {
                            segmentsMissed++;
                            player.segmentMissed(nowMs());
                        } else {
                            segmentsPlayed++;
                            double emptyMs = player.segmentReceived(segment, nowMs());
                            if (emptyMs > 0) {
                                stalledMs += emptyMs;
                                stalls++;
                                stallsAtPieces += player.stalledAtPiece() ? 1 : 0;
                            }
                        }
                        advancePlayback(requestGeneration);
                    });
        }
    }
}
