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
import calicovale.rehearsal.day.Day.Kind;
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
 * Owns all viewers of a day on one loop: each wishes for one lecture, keeps its own deadline, plays the session's playlist
 * segment by segment, comes again after a refusal or a break as the day states, and leaves when its time is over.
 */
public final class Audience {
    private static final byte[] NONE = new byte[0];
    private static final double RELOAD_MS = 2000;
    private static final double SEGMENT_MS = 20_000;
    /** A player keeps some seconds ahead and waits where it has more. */
    private static final double BUFFER_TARGETS = 2;

    private static final Logger LOG = LoggerFactory.getLogger(Audience.class);

    private final EventLoop loop;
    private final Day day;
    private final RandomGenerator random;
    private final HttpClient front;
    private final HttpClient segments;
    private final List<InetSocketAddress> managers;
    private final double parts;
    private boolean closed;
    private int numbers;
    private int present;
    private long segmentsPlayed;
    private long segmentsMissed;
    private double stalledMs;
    private long stalls;
    private long stallsAtPieces;
    private long refusals;

    /** {@code managers} may change its addresses while the day runs; it is read on the loop. */
    public Audience(EventLoop loop, Day day, RandomGenerator random, List<InetSocketAddress> managers) {
        this.loop = loop;
        this.day = day;
        this.random = random;
        this.managers = managers;
        HttpLimits limits = new HttpLimits(8192, 64, 16_384, 1 << 22, 0, 5000, 30_000, 20_000, 0);
        front = new HttpClient(loop, limits, 100_000, 1000);
        segments = new HttpClient(loop, limits, 100_000, 1000);
        parts = day.viewers().classes().stream().mapToDouble(Kind::part).sum();
    }

    /** Viewers come from now on, for the day's seconds. */
    public void open() {
        double start = nowMs();
        arrive(start);
    }

    /** No viewer comes or comes again. */
    public void close() {
        closed = true;
    }

    /** Viewers that are here. */
    public int present() {
        return present;
    }

    /** Segments that came whole. */
    public long segmentsPlayed() {
        return segmentsPlayed;
    }

    /** Segments that did not come. */
    public long segmentsMissed() {
        return segmentsMissed;
    }

    /** Time for which viewers' buffers were empty while they played. */
    public double stalledMs() {
        return stalledMs;
    }

    /** Times that a viewer's buffer was empty while it played. */
    public long stalls() {
        return stalls;
    }

    /** Those at a segment of a piece or right behind one. */
    public long stallsAtPieces() {
        return stallsAtPieces;
    }

    /** Playlists that a strict player refused. */
    public long refusals() {
        return refusals;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private void arrive(double start) {
        double at = (nowMs() - start) / 1000;
        if (closed || at > day.seconds()) {
            closed = true;
            return;
        }
        double rate = day.viewers().perSecond();
        for (Day.Surge s : day.viewers().surges()) {
            rate *= at >= s.at() && at < s.at() + s.lasts() ? s.times() : 1;
        }
        if (rate > 0) {
            double wait = Math.min(1000, -Math.log(1 - random.nextDouble()) / rate * 1000);
            loop.schedule(wait, () -> {
                if (!closed) {
                    new Viewer().come(false);
                }
                arrive(start);
            });
        } else {
            loop.schedule(100, () -> arrive(start));
        }
    }

    private double within(double[] range) {
        return range[0] + random.nextDouble() * (range[1] - range[0]);
    }

    /** One viewer and its one wish. */
    private final class Viewer {
        private final int number = ++numbers;
        private final Kind kind;
        private final String title;
        private final int top;
        private final double deadlineMs;
        private final double untilMs;
        private int tries;
        private InetSocketAddress manager;
        private String media;
        private Follower follower;
        private boolean fetching;
        private boolean reloading;
        private Timer wake;
        /** What managers gave it to carry, as a browser would (RFC 6265). */
        private String cookie;

        private boolean over;
        private int playing;

        Viewer() {
            double pick = random.nextDouble() * parts;
            int i = 0;
            List<Kind> kinds = day.viewers().classes();
            while (i + 1 < kinds.size() && pick >= kinds.get(i).part()) {
                pick -= kinds.get(i++).part();
            }
            kind = kinds.get(i);
            int c = day.settings().classNames().indexOf(kind.name());
            var k = day.settings().controller().classes().get(c);
            top = kind.tops().isEmpty()
                    ? k.highestRung()
                    : kind.tops().get(random.nextInt(kind.tops().size()));
            deadlineMs = k.deadlineMs();
            // some lectures are wanted far more than others
            double u = random.nextDouble();
            title = "lecture-" + (int) (u * u * day.viewers().titles());
            untilMs = nowMs() + 1000 * within(kind.seconds());
            present++;
        }

        private void leave() {
            if (!over) {
                over = true;
                present--;
            }
        }

        /** Asks a manager for the lecture. */
        void come(boolean again) {
            if (over) {
                return;
            }
            if (nowMs() >= untilMs) {
                leave();
                return;
            }
            int m = random.nextInt(managers.size());
            manager = managers.get(m);
            media = null;
            follower = new Follower(BUFFER_TARGETS);
            fetching = false;
            reloading = false;
            int play = ++playing;
            String target = "/v1/lectures/" + title + "/index.m3u8?class=" + kind.name() + "&top=" + top + "&viewer=v"
                    + number + "&try=" + ++tries + (again ? "&retry=1&returning=1" : "");
            boolean impatient = random.nextDouble() < day.viewers().impatient();
            double patience = impatient ? within(day.viewers().impatientMs()) : deadlineMs;
            Headers headers = cookie == null ? new Headers() : new Headers().add("Cookie", cookie);
            front.send(manager, "manager:" + m, "GET", target, headers, NONE, patience, (head, body, failure) -> {
                if (over || play != playing) {
                    return;
                }
                if (impatient && failure == Failure.TIMEOUT) {
                    leave();
                } else if (failure != null || head.status() != 200) {
                    comeAgain(retryAfter(head, body));
                } else {
                    String text = new String(body, StandardCharsets.UTF_8);
                    media = text.lines()
                            .filter(line -> !line.startsWith("#"))
                            .findFirst()
                            .orElse(null);
                    reload(play);
                }
            });
        }

        private double retryAfter(HttpHead head, byte[] body) {
            if (head == null || head.headers().get("Retry-After") == null) {
                return 0;
            }
            try {
                return Documents.MAPPER.readTree(body).path("retryAfterMs").asDouble(1000);
            } catch (IOException e) {
                return 1000;
            }
        }

        private void comeAgain(double atLeastMs) {
            if (closed || random.nextDouble() >= day.viewers().comeAgain()) {
                leave();
                return;
            }
            loop.schedule(Math.max(atLeastMs, within(day.viewers().comeAgainMs())), () -> come(true));
        }

        private void reload(int play) {
            if (over || play != playing) {
                return;
            }
            if (nowMs() >= untilMs) {
                leave();
                return;
            }
            reloading = true;
            front.send(
                    manager,
                    "manager",
                    "GET",
                    media,
                    new Headers(),
                    NONE,
                    Math.max(RELOAD_MS, deadlineMs),
                    (head, body, failure) -> {
                        if (over || play != playing) {
                            return;
                        }
                        if (failure == null && head.status() == 503) {
                            // the session's box is lost and there is no room: the same playlist is asked for again
                            if (closed || random.nextDouble() >= day.viewers().comeAgain()) {
                                leave();
                            } else {
                                loop.schedule(
                                        Math.max(
                                                retryAfter(head, body),
                                                within(day.viewers().comeAgainMs())),
                                        () -> reload(play));
                            }
                        } else if (failure != null || head.status() != 200) {
                            comeAgain(0);
                        } else {
                            reloading = false;
                            String set = head.headers().get("Set-Cookie");
                            cookie = set == null ? cookie : set.split(";", 2)[0];
                            List<String> faults = follower.playlist(new String(body, StandardCharsets.UTF_8), nowMs());
                            if (faults.isEmpty()) {
                                step(play);
                            } else {
                                refusals++;
                                LOG.warn("viewer {} refuses its playlist: {}", number, faults.get(0));
                                leave();
                            }
                        }
                    });
        }

        /** Does what is due: the next segment while the buffer has room, the playlist when its timer says so. */
        private void step(int play) {
            if (over || play != playing) {
                return;
            }
            double now = nowMs();
            if (now >= untilMs || follower.over() && !fetching) {
                leave();
                return;
            }
            Segment next = fetching ? null : follower.next();
            if (next != null && now >= follower.roomAtMs()) {
                fetch(play, next);
            }
            if (!reloading && now >= follower.reloadAtMs()) {
                reload(play);
            }
            double due = reloading ? Double.POSITIVE_INFINITY : follower.reloadAtMs();
            due = fetching || follower.next() == null ? due : Math.min(due, follower.roomAtMs());
            if (wake != null) {
                wake.cancel();
            }
            wake = loop.schedule(Math.max(1, Math.min(due, untilMs) - nowMs()), () -> step(play));
        }

        private void fetch(int play, Segment s) {
            fetching = true;
            follower.fetching(s);
            URI at = URI.create(s.uri());
            InetSocketAddress box = new InetSocketAddress(at.getHost(), at.getPort());
            segments.send(
                    box, "segments", "GET", at.getRawPath(), new Headers(), NONE, SEGMENT_MS, (head, body, failure) -> {
                        if (over || play != playing) {
                            return;
                        }
                        fetching = false;
                        if (failure != null || head.status() != 200) {
                            segmentsMissed++;
                            follower.missed(nowMs());
                        } else {
                            segmentsPlayed++;
                            double empty = follower.arrived(s, nowMs());
                            if (empty > 0) {
                                stalledMs += empty;
                                stalls++;
                                stallsAtPieces += follower.atPiece() ? 1 : 0;
                            }
                        }
                        step(play);
                    });
        }
    }
}
