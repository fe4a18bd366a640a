package calicovale.rehearsal.run;

import calicovale.front.FrontProcess;
import calicovale.front.ledger.SessionLedgerWriter;
import calicovale.gossip.claims.Claim;
import calicovale.gossip.net.KeyDocuments;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.LoopLimits;
import calicovale.protocols.net.SkewedClock;
import calicovale.rehearsal.day.Day;
import calicovale.rehearsal.judge.Figures;
import calicovale.rehearsal.judge.FirstSetUps;
import calicovale.rehearsal.judge.PlaylistChecker;
import calicovale.rehearsal.judge.Report;
import calicovale.rehearsal.judge.RuleChecker;
import calicovale.rehearsal.judge.Sightings;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.SocketTap;
import calicovale.rehearsal.tape.Tape;
import calicovale.rehearsal.viewers.Audience;
import calicovale.standin.BoxDirectory;
import calicovale.standin.BoxSettings;
import calicovale.standin.MediaBox;
import calicovale.standin.Rack;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns one run of a day: directory, boxes, managers and viewers, each on its own loop and with its own sockets on loopback,
 * and the faults in their time. What it did it marks on the tape.
 */
public final class Rehearsal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Rehearsal.class);
    private static final int BOX_LOOPS = 4;
    /** Ms past a viewer's deadline in which an answer still counts: its own timer and the wire take that long. */
    private static final double ANSWER_SLACK_MS = 50;
    /** Ms between two tellings of a liar. */
    private static final double FALSE_CLAIMS_MS = 300;

    private final Day day;
    private final Clock clock = Clock.system();
    private final Tape tape = new Tape(clock);
    private final SplittableRandom random;
    private final EventLoop directoryLoop;
    private final EventLoop viewerLoop;
    private final EventLoop script;
    private final List<EventLoop> boxLoops = new ArrayList<>();
    private final List<MediaBox> boxes = new ArrayList<>();
    private final List<BoxDirectory.Entry> listed = new ArrayList<>();
    private final List<Rack> racks = new ArrayList<>();
    private final List<FrontProcess> managers = new CopyOnWriteArrayList<>();
    private final List<SkewedClock> clocks = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new CopyOnWriteArrayList<>();
    private final Path state;
    private BoxDirectory directory;
    private InetSocketAddress directoryAddress;
    private Audience audience;

    /** Prepares a run; {@code state} is a folder for what managers keep over restarts. */
    public Rehearsal(Day day, Path state) {
        this.day = day;
        this.state = state;
        random = new SplittableRandom(day.seed());
        directoryLoop = new EventLoop("directory", clock, LoopLimits.DEFAULT, new SocketTap(tape, "directory")).start();
        viewerLoop = new EventLoop("viewers", clock, LoopLimits.DEFAULT, new SocketTap(tape, "viewers")).start();
        script = new EventLoop("script", clock).start();
        for (int i = 0; i < Math.min(BOX_LOOPS, day.boxes().count()); i++) {
            boxLoops.add(new EventLoop("boxes-" + i, clock, LoopLimits.DEFAULT, new SocketTap(tape, null)).start());
        }
    }

    /** The tape. */
    public Tape tape() {
        return tape;
    }

    /** The viewers; to be read when the run is over. */
    public Audience audience() {
        return audience;
    }

    /** The boxes; to be touched on their loops only. */
    public List<MediaBox> boxes() {
        return boxes;
    }

    /** The managers. */
    public List<FrontProcess> managers() {
        return managers;
    }

    /** Where players find the managers. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    private EventLoop loopOf(int box) {
        return boxLoops.get(box % boxLoops.size());
    }

    /** Starts everything but the viewers. */
    public void start() throws IOException {
        Files.createDirectories(state);
        directory = new BoxDirectory(directoryLoop, Ports.free(), day.directoryLagMs(), 500);
        directoryAddress = directoryLoop.call(directory::start);
        if (day.directoryStartsAtS() > 0) {
            run(directoryLoop, directory::stop);
            script.execute(() -> script.schedule(1000 * day.directoryStartsAtS(), this::directoryUp));
            tape.mark("directory-down", "directory", null);
        }
        var media = day.settings().controller().media();
        for (int r = 0; r < Math.max(1, media.racks()); r++) {
            racks.add(new Rack(media.uplinkKb()));
        }
        for (int i = 0; i < day.boxes().count(); i++) {
            startBox(i);
        }
        if (day.gossip() != null) {
            keys();
        }
        for (int m = 0; m < day.managers(); m++) {
            double skew = m < day.skewMs().size() ? day.skewMs().get(m) : 0;
            clocks.add(new SkewedClock(clock, skew));
            managers.add(manager(m, Ports.free().getPort()));
        }
        for (FrontProcess manager : managers) {
            addresses.add(manager.address());
        }
        awaitList();
    }

    private void startBox(int i) {
        Day.Boxes b = day.boxes();
        var rules = day.settings().controller().rules();
        var media = day.settings().controller().media();
        double size = 1 + b.linkSpread() * (2 * random.nextDouble() - 1);
        BoxSettings settings = new BoxSettings(
                i,
                Ports.free(),
                b.streams(),
                b.linkKb() * size,
                media.fullFrom(),
                rules.coldFrom(),
                rules.warmAfterMs(),
                rules.tipMultiple(),
                rules.tipMs(),
                b.setUpMs(),
                300,
                Math.max(200, media.noteEveryMs()),
                media.noteDelayMs(),
                b.uplinkNotes(),
                b.segmentS(),
                b.segments(),
                b.idleMs(),
                b.graceMs(),
                500,
                b.piecesOn().isEmpty() || b.piecesOn().contains(i) ? b.pieces() : Map.of(),
                b.piecesOn().isEmpty() || b.piecesOn().contains(i)
                        ? Set.of()
                        : b.pieces().keySet(),
                b.crossOrigin(),
                b.content() == null ? null : Path.of(b.content()));
        int rack = i % racks.size();
        MediaBox box = new MediaBox(loopOf(i), settings, racks.get(rack), random.split());
        boxes.add(box);
        InetSocketAddress at = loopOf(i).call(() -> box.start(false));
        // the list knows a box's size only roughly
        double told = b.linkKb() * (1 + 0.5 * (size - 1)) / media.linkKbPerWeight();
        BoxDirectory.Entry entry =
                new BoxDirectory.Entry(i, "ready", 0, 0, rack, 0, told, at.getHostString() + ":" + at.getPort());
        listed.add(entry);
        directoryLoop.call(() -> {
            directory.listNow(entry);
            return true;
        });
    }

    private FrontProcess manager(int m, int port) {
        tape.mark("manager-start", "manager:" + m, null);
        List<String> seeds = new ArrayList<>();
        for (int i = 0; day.gossip() != null && i < managers.size(); i++) {
            if (i != m) {
                seeds.add("127.0.0.1:" + managers.get(i).gossipAddress().getPort());
            }
        }
        try {
            return new FrontProcess(
                    day.settings(m, port, directoryAddress.getPort(), seeds, state),
                    clocks.get(m),
                    random.split(),
                    new SocketTap(tape, "manager:" + m));
        } catch (InvalidDocumentException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Each manager's key, and the roster that allows them all. */
    private void keys() throws IOException {
        Path roster = Files.createDirectories(state.resolve("roster"));
        for (int m = 0; m < day.managers(); m++) {
            try {
                List<String> made = KeyDocuments.generate("m" + m);
                Files.writeString(state.resolve("m" + m + ".key"), made.get(0));
                Files.writeString(roster.resolve("m" + m + ".json"), made.get(1));
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Waits until each manager has a list, unless the directory is down: before it every request would be refused. */
    private void awaitList() {
        if (day.directoryStartsAtS() > 0) {
            return;
        }
        double until = tape.nowMs() + 10_000;
        while (tape.nowMs() < until) {
            long told = tape.entries().stream()
                    .filter(e ->
                            e.end().startsWith("manager:") && e.kind() == Entry.Kind.EVENT && "full".equals(e.method()))
                    .count();
            if (told >= managers.size()) {
                return;
            }
            pause(5);
        }
        throw new IllegalStateException("the managers heard no list");
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Runs the day to its end: viewers come, faults happen, the last viewers leave or are cut off after a bound. */
    public void play() {
        audience = new Audience(viewerLoop, day, random.split(), addresses);
        tape.mark("day-start", day.name(), null);
        run(viewerLoop, audience::open);
        script.execute(() -> {
            for (Day.Fault fault : day.faults()) {
                script.schedule(1000 * fault.at(), () -> begin(fault));
            }
        });
        try (Operators operators = new Operators(this, tape)) {
            operators.begin(day.changes());
            pause((long) (1000 * day.seconds()));
        }
        run(viewerLoop, audience::close);
        double longest = day.settings().controller().classes().stream()
                .mapToDouble(c -> c.deadlineMs())
                .max()
                .orElse(0);
        double until = tape.nowMs() + longest + 500;
        // requests under way still get their answers; sessions that play on are cut off
        while (tape.nowMs() < until && viewerLoop.call(audience::present) > 0) {
            pause(50);
        }
        tape.mark("day-end", day.name(), null);
    }

    /** Lets one fault happen now. */
    public void happen(Day.Fault fault) {
        run(script, () -> begin(fault));
    }

    /** Calls {@code body} with a box, on its loop. */
    public <T> T atBox(int box, Function<MediaBox, T> body) {
        return loopOf(box).call(() -> body.apply(boxes.get(box)));
    }

    private void run(EventLoop loop, Runnable body) {
        loop.call(() -> {
            body.run();
            return true;
        });
    }

    private void on(EventLoop loop, Runnable body) {
        loop.execute(body);
    }

    private void begin(Day.Fault f) {
        LOG.info("fault {} begins", f.kind());
        tape.mark("fault", f.kind(), Long.toString(Math.round(f.at() * 1000)));
        switch (f.kind()) {
            case "crash" ->
                f.boxes().forEach(i -> {
                    crash(i);
                    after(f, () -> restart(i));
                });
            case "deploy" -> deploy(f, 0);
            case "hang" ->
                each(
                        f,
                        box -> {
                            box.faults().hang = true;
                            box.faults().ignorePeerClosed = f.deaf();
                        },
                        MediaBox::endHang);
            case "slow" ->
                each(f, box -> box.faults().setUpTimeFactor = f.value(), box -> box.faults().setUpTimeFactor = 1);
            case "errors" ->
                each(f, box -> box.faults().setUpErrorShare = f.value(), box -> box.faults().setUpErrorShare = 0);
            case "resets" ->
                each(f, box -> box.faults().setUpResetShare = f.value(), box -> box.faults().setUpResetShare = 0);
            case "connections-reset" -> each(f, MediaBox::resetConnections, box -> {});
            case "half-open" ->
                each(f, box -> box.faults().silentEventStreams = true, box -> box.faults().silentEventStreams = false);
            case "reports-late" ->
                each(f, box -> box.faults().reportDelayMs = f.value(), box -> box.faults().reportDelayMs = 0);
            case "link-sag" -> each(f, box -> box.setLinkDivisor(f.value()), box -> box.setLinkDivisor(1));
            case "uplink-sag" -> {
                racks.get(f.rack() % racks.size()).setUplinkDivisor(f.value());
                after(f, () -> racks.get(f.rack() % racks.size()).setUplinkDivisor(1));
            }
            case "list-late" -> {
                on(directoryLoop, () -> directory.setLagMs(day.directoryLagMs() + f.value()));
                after(f, () -> on(directoryLoop, () -> directory.setLagMs(day.directoryLagMs())));
            }
            case "list-forgets" ->
                f.boxes().forEach(i -> {
                    on(directoryLoop, () -> directory.removeFromList(i));
                    after(f, () -> list(listed.get(i)));
                });
            case "directory-down" -> {
                on(directoryLoop, directory::stop);
                after(f, this::directoryUp);
            }
            case "manager-stall" -> {
                tape.mark("manager-stall", "manager:" + f.manager(), Long.toString(Math.round(f.lasts() * 1000)));
                on(managers.get(f.manager()).loop(), () -> pause(Math.round(f.lasts() * 1000)));
            }
            case "manager-kill" -> {
                tape.mark("manager-kill", "manager:" + f.manager(), null);
                managers.get(f.manager()).kill();
                after(f, () -> {
                    FrontProcess next =
                            manager(f.manager(), addresses.get(f.manager()).getPort());
                    managers.set(f.manager(), next);
                });
            }
            case "disk-stall" ->
                disk(f, () -> {
                    try {
                        Thread.sleep(Math.round(f.value()));
                    } catch (InterruptedException e) {
                        throw new IOException("killed while it wrote", e);
                    }
                });
            case "disk-full" ->
                disk(f, () -> {
                    throw new IOException("No space left on device");
                });
            case "false-claims" -> falseClaims(f, tape.nowMs() + 1000 * f.lasts());
            case "members-cut" -> {
                cut(f.manager(), true);
                after(f, () -> cut(f.manager(), false));
            }
            case "clock-step" -> clocks.get(f.manager()).step(f.value());
            default -> throw new IllegalStateException("unknown fault " + f.kind());
        }
    }

    /** A manager that claims trouble at boxes that it never had: its key is good, its word is not. */
    private void falseClaims(Day.Fault f, double untilMs) {
        FrontProcess liar = managers.get(f.manager());
        on(
                liar.loop(),
                () -> f.boxes().forEach(box -> {
                    // what it truly saw of late must not make its lie weaker
                    for (int i = 0; i < 64; i++) {
                        liar.peers().node().recordOutcome(box, Claim.Kind.FAILED);
                    }
                }));
        if (tape.nowMs() < untilMs) {
            script.schedule(FALSE_CLAIMS_MS, () -> falseClaims(f, untilMs));
        }
    }

    /** Nothing goes between a manager and its group any more, or again. */
    private void cut(int manager, boolean apart) {
        String alone = "127.0.0.1:" + managers.get(manager).gossipAddress().getPort();
        for (FrontProcess each : managers) {
            on(
                    each.loop(),
                    () -> each.peers()
                            .node()
                            .setNetworkConditions((from, to, connection) ->
                                    apart && from.equals(alone) != to.equals(alone) ? -1 : 0));
        }
    }

    private void disk(Day.Fault f, SessionLedgerWriter.DiskFault fault) {
        managers.get(f.manager()).setDiskFault(fault);
        after(f, () -> managers.get(f.manager()).setDiskFault(SessionLedgerWriter.DiskFault.NONE));
    }

    private interface OnBox {
        void apply(MediaBox box);
    }

    private void each(Day.Fault f, OnBox begin, OnBox end) {
        for (int i : f.boxes()) {
            on(loopOf(i), () -> begin.apply(boxes.get(i)));
            if (f.lasts() > 0) {
                script.schedule(1000 * f.lasts(), () -> on(loopOf(i), () -> end.apply(boxes.get(i))));
            }
        }
    }

    private void after(Day.Fault f, Runnable body) {
        if (f.lasts() > 0) {
            script.schedule(1000 * f.lasts(), body);
        }
    }

    private void directoryUp() {
        tape.mark("directory-up", "directory", null);
        on(directoryLoop, () -> {
            try {
                directory.start();
            } catch (IOException e) {
                LOG.error("the directory can't listen again", e);
            }
        });
    }

    private void list(BoxDirectory.Entry entry) {
        on(directoryLoop, () -> directory.listAfterLag(entry));
    }

    private void state(int i, String state, double startedMs) {
        BoxDirectory.Entry e = listed.get(i);
        BoxDirectory.Entry next =
                new BoxDirectory.Entry(e.id(), state, e.kind(), e.zone(), e.cell(), startedMs, e.weight(), e.address());
        listed.set(i, next);
        list(next);
    }

    private void crash(int i) {
        tape.mark("box-down", "box:" + i, null);
        on(loopOf(i), () -> boxes.get(i).crash());
        state(i, "gone", listed.get(i).startedMs());
    }

    private void restart(int i) {
        on(loopOf(i), () -> {
            try {
                boxes.get(i).start(true);
                tape.mark("box-start", "box:" + i, null);
                double started = clock.millis();
                on(script, () -> state(i, "ready", started));
            } catch (IOException e) {
                LOG.error("box {} can't start again", i, e);
            }
        });
    }

    /** A rolling deploy: each box drains for the fault's time, then starts anew; the next follows. */
    private void deploy(Day.Fault f, int at) {
        if (at >= f.boxes().size()) {
            return;
        }
        int i = f.boxes().get(at);
        state(i, "draining", listed.get(i).startedMs());
        tape.mark("box-draining", "box:" + i, null);
        script.schedule(1000 * f.lasts(), () -> {
            crash(i);
            script.schedule(500, () -> {
                restart(i);
                deploy(f, at + 1);
            });
        });
    }

    @Override
    public void close() {
        finish();
    }

    /** Ends all that runs. */
    public void finish() {
        script.close();
        managers.forEach(FrontProcess::close);
        viewerLoop.close();
        boxLoops.forEach(EventLoop::close);
        directoryLoop.close();
    }

    /** Judges what is on the tape; to be called when the run is over. */
    public Report report() {
        List<Entry> entries = tape.entries();
        if (tape.overrun()) {
            throw new IllegalStateException("the tape's bound was hit: this run can't be judged");
        }
        Map<String, Double> extra = new LinkedHashMap<>();
        if (audience != null) {
            extra.put("segments played", (double) audience.segmentsPlayed());
            extra.put("segments missed", (double) audience.segmentsMissed());
            extra.put("seconds stalled", audience.stalledMs() / 1000);
            extra.put("stalls", (double) audience.stalls());
            extra.put("stalls at a piece", (double) audience.stallsAtPieces());
            extra.put("playlists that players refused", (double) audience.refusals());
        }
        FirstSetUps firsts = FirstSetUps.of(entries);
        extra.put("first set-ups", (double) firsts.sent());
        extra.put("first set-ups that failed", (double) firsts.failures());
        return new Report(
                day.name(),
                day.seed(),
                RuleChecker.judge(figures(day), entries),
                PlaylistChecker.judge(figures(day), entries),
                Sightings.of(entries),
                extra);
    }

    /** The figures by which a day is judged. */
    public static Figures figures(Day day) {
        var settings = day.settings().controller();
        List<Figures.OfClass> classes = new ArrayList<>();
        for (int c = 0; c < settings.classes().size(); c++) {
            var k = settings.classes().get(c);
            classes.add(new Figures.OfClass(
                    day.settings().classNames().get(c),
                    k.worth(),
                    k.deadlineMs(),
                    k.effect(),
                    k.lowestRung(),
                    k.seats()));
        }
        var r = settings.rules();
        return new Figures(
                classes,
                ANSWER_SLACK_MS,
                r.drainGraceMs(),
                r.coldFrom(),
                r.warmAfterMs(),
                r.tipMultiple(),
                r.tipMs(),
                day.boxes().streams(),
                r.extraFree(),
                r.extraRatio(),
                r.extraWindowMs());
    }

    /** What a manager has counted, by name. */
    public Map<String, Long> counters() {
        Map<String, Long> result = new LinkedHashMap<>();
        for (FrontProcess manager : managers) {
            try {
                manager.loop()
                        .call(() -> {
                            Map<String, Long> all = manager.counters().snapshot();
                            if (manager.peers() != null) {
                                all.putAll(manager.peers().counters());
                            }
                            return all;
                        })
                        .forEach((name, count) -> result.merge(name, count, Long::sum));
            } catch (RejectedExecutionException e) {
                LOG.info("a manager that was killed has no counts");
            }
        }
        return result;
    }
}
