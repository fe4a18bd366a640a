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
import calicovale.rehearsal.judge.FaultTraces;
import calicovale.rehearsal.judge.FirstSetUps;
import calicovale.rehearsal.judge.PlaylistChecker;
import calicovale.rehearsal.judge.Report;
import calicovale.rehearsal.judge.RuleChecker;
import calicovale.rehearsal.judge.RuleParameters;
import calicovale.rehearsal.tape.Entry;
import calicovale.rehearsal.tape.SocketTap;
import calicovale.rehearsal.tape.TrafficRecording;
import calicovale.rehearsal.viewers.SimulatedViewers;
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
 * One run of a scripted day: starts the directory, boxes, managers and viewers with real sockets on loopback, injects
 * the faults at their times, and marks in the recording what it did. Directory, viewers and each manager have an
 * event loop of their own; boxes share a few.
 */
public final class Rehearsal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Rehearsal.class);
    /** Maximum number of event loops that the boxes share. */
    private static final int MAX_BOX_LOOPS = 4;
    /**
     * Time past a viewer's deadline in which a response still counts, in ms. It covers the delays of the viewer's
     * timer and of the network.
     */
    private static final double ANSWER_SLACK_MS = 50;
    /** Interval at which a manager with a {@code false-claims} fault renews its false claims, in ms. */
    private static final double FALSE_CLAIM_INTERVAL_MS = 300;

    private final Day day;
    private final Clock clock = Clock.system();
    private final TrafficRecording recording = new TrafficRecording(clock);
    private final SplittableRandom random;
    private final EventLoop directoryLoop;
    private final EventLoop viewerLoop;
    private final EventLoop scriptLoop;
    private final List<EventLoop> boxLoops = new ArrayList<>();
    private final List<MediaBox> boxes = new ArrayList<>();
    private final List<BoxDirectory.Entry> directoryEntries = new ArrayList<>();
    private final List<Rack> racks = new ArrayList<>();
    private final List<FrontProcess> managers = new CopyOnWriteArrayList<>();
    private final List<SkewedClock> managerClocks = new ArrayList<>();
    private final List<InetSocketAddress> managerAddresses = new CopyOnWriteArrayList<>();
    private final Path stateFolder;
    private BoxDirectory directory;
    private InetSocketAddress directoryAddress;
    private SimulatedViewers viewers;

    /**
     * Prepares a run; {@link #start} starts its processes.
     *
     * @param stateFolder folder for the state that managers keep across restarts; created if absent
     */
    public Rehearsal(Day day, Path stateFolder) {
        this.day = day;
        this.stateFolder = stateFolder;
        random = new SplittableRandom(day.seed());
        directoryLoop =
                new EventLoop("directory", clock, LoopLimits.DEFAULT, new SocketTap(recording, "directory")).start();
        viewerLoop = new EventLoop("viewers", clock, LoopLimits.DEFAULT, new SocketTap(recording, "viewers")).start();
        scriptLoop = new EventLoop("script", clock).start();
        for (int i = 0; i < Math.min(MAX_BOX_LOOPS, day.boxes().count()); i++) {
            boxLoops.add(
                    new EventLoop("boxes-" + i, clock, LoopLimits.DEFAULT, new SocketTap(recording, null)).start());
        }
    }

    /** Returns the recording of this run. */
    public TrafficRecording recording() {
        return recording;
    }

    /** Returns the viewers, null before {@link #play}; read their counters only after the run. */
    public SimulatedViewers viewers() {
        return viewers;
    }

    /** Returns the boxes; they must be accessed on their loops only, see {@link #callOnBox}. */
    public List<MediaBox> boxes() {
        return boxes;
    }

    /** Returns the managers, by number. */
    public List<FrontProcess> managers() {
        return managers;
    }

    /** Returns the addresses of the managers for players, by manager number. */
    public List<InetSocketAddress> managerAddresses() {
        return managerAddresses;
    }

    private EventLoop loopOf(int box) {
        return boxLoops.get(box % boxLoops.size());
    }

    /** Starts all processes except the viewers, and waits until each manager has received the list of boxes. */
    public void start() throws IOException {
        Files.createDirectories(stateFolder);
        directory = new BoxDirectory(directoryLoop, PortAllocator.allocate(), day.directoryLagMs(), 500);
        directoryAddress = directoryLoop.call(directory::start);
        if (day.directoryStartsAtS() > 0) {
            runAndWait(directoryLoop, directory::stop);
            scriptLoop.execute(() -> scriptLoop.schedule(1000 * day.directoryStartsAtS(), this::startDirectory));
            recording.mark("directory-down", "directory", null);
        }
        var media = day.settings().controller().media();
        for (int rack = 0; rack < Math.max(1, media.racks()); rack++) {
            racks.add(new Rack(media.uplinkKb()));
        }
        for (int i = 0; i < day.boxes().count(); i++) {
            startBox(i);
        }
        if (day.gossip() != null) {
            writeKeys();
        }
        for (int number = 0; number < day.managers(); number++) {
            double skew = number < day.skewMs().size() ? day.skewMs().get(number) : 0;
            managerClocks.add(new SkewedClock(clock, skew));
            managers.add(createManager(number, PortAllocator.allocate().getPort()));
        }
        for (FrontProcess manager : managers) {
            managerAddresses.add(manager.address());
        }
        awaitBoxLists();
    }

    private void startBox(int boxId) {
        Day.Boxes dayBoxes = day.boxes();
        var rules = day.settings().controller().rules();
        var media = day.settings().controller().media();
        double linkFactor = 1 + dayBoxes.linkSpread() * (2 * random.nextDouble() - 1);
        BoxSettings settings = new BoxSettings(
                boxId,
                PortAllocator.allocate(),
                dayBoxes.maxStreams(),
                dayBoxes.linkKb() * linkFactor,
                media.fullFrom(),
                rules.coldFrom(),
                rules.warmAfterMs(),
                rules.tipMultiple(),
                rules.tipMs(),
                dayBoxes.setUpMs(),
                300,
                Math.max(200, media.noteEveryMs()),
                media.noteDelayMs(),
                dayBoxes.uplinkNotes(),
                dayBoxes.segmentS(),
                dayBoxes.segments(),
                dayBoxes.idleMs(),
                dayBoxes.graceMs(),
                500,
                dayBoxes.boxesWithPieces().isEmpty()
                                || dayBoxes.boxesWithPieces().contains(boxId)
                        ? dayBoxes.pieces()
                        : Map.of(),
                dayBoxes.boxesWithPieces().isEmpty()
                                || dayBoxes.boxesWithPieces().contains(boxId)
                        ? Set.of()
                        : dayBoxes.pieces().keySet(),
                dayBoxes.crossOrigin(),
                dayBoxes.content() == null ? null : Path.of(dayBoxes.content()));
        int rack = boxId % racks.size();
        MediaBox box = new MediaBox(loopOf(boxId), settings, racks.get(rack), random.split());
        boxes.add(box);
        InetSocketAddress address = loopOf(boxId).call(() -> box.start(false));
        // the listed weight contains only half of the deviation, because directories know link capacities only roughly
        double weight = dayBoxes.linkKb() * (1 + 0.5 * (linkFactor - 1)) / media.linkKbPerWeight();
        BoxDirectory.Entry entry = new BoxDirectory.Entry(
                boxId, "ready", 0, 0, rack, 0, weight, address.getHostString() + ":" + address.getPort());
        directoryEntries.add(entry);
        directoryLoop.call(() -> {
            directory.listNow(entry);
            return true;
        });
    }

    private FrontProcess createManager(int number, int port) {
        recording.mark("manager-start", "manager:" + number, null);
        List<String> seeds = new ArrayList<>();
        for (int i = 0; day.gossip() != null && i < managers.size(); i++) {
            if (i != number) {
                seeds.add("127.0.0.1:" + managers.get(i).gossipAddress().getPort());
            }
        }
        try {
            return new FrontProcess(
                    day.settings(number, port, directoryAddress.getPort(), seeds, stateFolder),
                    managerClocks.get(number),
                    random.split(),
                    new SocketTap(recording, "manager:" + number));
        } catch (InvalidDocumentException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes a key for each manager, and the roster that admits them all. */
    private void writeKeys() throws IOException {
        Path roster = Files.createDirectories(stateFolder.resolve("roster"));
        for (int number = 0; number < day.managers(); number++) {
            try {
                List<String> documents = KeyDocuments.generate("m" + number);
                Files.writeString(stateFolder.resolve("m" + number + ".key"), documents.get(0));
                Files.writeString(roster.resolve("m" + number + ".json"), documents.get(1));
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /**
     * Waits until as many complete box lists as there are managers were received, because managers refuse every
     * request before. Returns at once if the directory starts later in the day.
     */
    private void awaitBoxLists() {
        if (day.directoryStartsAtS() > 0) {
            return;
        }
        double deadlineMs = recording.nowMs() + 10_000;
        while (recording.nowMs() < deadlineMs) {
            long listsReceived = recording.entries().stream()
                    .filter(e ->
                            e.end().startsWith("manager:") && e.kind() == Entry.Kind.EVENT && "full".equals(e.method()))
                    .count();
            if (listsReceived >= managers.size()) {
                return;
            }
            pause(5);
        }
        throw new IllegalStateException("not every manager received the list of boxes within 10 s");
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /**
     * Runs the day to its end: starts the viewers, injects the faults, and waits for the last viewers to leave, up to
     * the longest deadline of a class and 0.5 s more.
     */
    public void play() {
        viewers = new SimulatedViewers(viewerLoop, day, random.split(), managerAddresses);
        recording.mark("day-start", day.name(), null);
        runAndWait(viewerLoop, viewers::startArrivals);
        scriptLoop.execute(() -> {
            for (Day.Fault fault : day.faults()) {
                scriptLoop.schedule(1000 * fault.atS(), () -> applyFault(fault));
            }
        });
        try (Operators operators = new Operators(this, recording)) {
            operators.schedule(day.changes());
            pause((long) (1000 * day.seconds()));
        }
        runAndWait(viewerLoop, viewers::stopArrivals);
        double longestDeadlineMs = day.settings().controller().classes().stream()
                .mapToDouble(c -> c.deadlineMs())
                .max()
                .orElse(0);
        double deadlineMs = recording.nowMs() + longestDeadlineMs + 500;
        // pending requests still get their responses; sessions that still play are cut off
        while (recording.nowMs() < deadlineMs && viewerLoop.call(viewers::presentViewers) > 0) {
            pause(50);
        }
        recording.mark("day-end", day.name(), null);
    }

    /** Injects a fault now; returns after it was applied. */
    public void injectFault(Day.Fault fault) {
        runAndWait(scriptLoop, () -> applyFault(fault));
    }

    /** Calls a function with a box, on the box's loop, and returns its result. */
    public <T> T callOnBox(int box, Function<MediaBox, T> body) {
        return loopOf(box).call(() -> body.apply(boxes.get(box)));
    }

    private void runAndWait(EventLoop loop, Runnable action) {
        loop.call(() -> {
            action.run();
            return true;
        });
    }

    private void runLater(EventLoop loop, Runnable action) {
        loop.execute(action);
    }

    private void applyFault(Day.Fault fault) {
        LOG.info("injecting fault {}", fault.kind());
        recording.mark("fault", fault.kind(), Long.toString(Math.round(fault.atS() * 1000)));
        switch (fault.kind()) {
            case "crash" ->
                fault.boxes().forEach(i -> {
                    crashBox(i);
                    scheduleFaultEnd(fault, () -> restartBox(i));
                });
            case "deploy" -> deployFrom(fault, 0);
            case "hang" ->
                applyToBoxes(
                        fault,
                        box -> {
                            box.faults().hang = true;
                            box.faults().ignorePeerClosed = fault.ignorePeerClosed();
                        },
                        MediaBox::endHang);
            case "slow" ->
                applyToBoxes(
                        fault,
                        box -> box.faults().setUpTimeFactor = fault.value(),
                        box -> box.faults().setUpTimeFactor = 1);
            case "errors" ->
                applyToBoxes(
                        fault,
                        box -> box.faults().setUpErrorShare = fault.value(),
                        box -> box.faults().setUpErrorShare = 0);
            case "resets" ->
                applyToBoxes(
                        fault,
                        box -> box.faults().setUpResetShare = fault.value(),
                        box -> box.faults().setUpResetShare = 0);
            case "connections-reset" -> applyToBoxes(fault, MediaBox::resetConnections, box -> {});
            case "half-open" ->
                applyToBoxes(
                        fault,
                        box -> box.faults().silentEventStreams = true,
                        box -> box.faults().silentEventStreams = false);
            case "reports-late" ->
                applyToBoxes(
                        fault,
                        box -> box.faults().reportDelayMs = fault.value(),
                        box -> box.faults().reportDelayMs = 0);
            case "link-sag" ->
                applyToBoxes(fault, box -> box.setLinkDivisor(fault.value()), box -> box.setLinkDivisor(1));
            case "uplink-sag" -> {
                racks.get(fault.rack() % racks.size()).setUplinkDivisor(fault.value());
                scheduleFaultEnd(
                        fault, () -> racks.get(fault.rack() % racks.size()).setUplinkDivisor(1));
            }
            case "list-late" -> {
                runLater(directoryLoop, () -> directory.setLagMs(day.directoryLagMs() + fault.value()));
                scheduleFaultEnd(fault, () -> runLater(directoryLoop, () -> directory.setLagMs(day.directoryLagMs())));
            }
            case "list-forgets" ->
                fault.boxes().forEach(i -> {
                    runLater(directoryLoop, () -> directory.removeFromList(i));
                    scheduleFaultEnd(fault, () -> updateDirectory(directoryEntries.get(i)));
                });
            case "directory-down" -> {
                runLater(directoryLoop, directory::stop);
                scheduleFaultEnd(fault, this::startDirectory);
            }
            case "manager-stall" -> {
                recording.mark(
                        "manager-stall",
                        "manager:" + fault.manager(),
                        Long.toString(Math.round(fault.durationS() * 1000)));
                runLater(managers.get(fault.manager()).loop(), () -> pause(Math.round(fault.durationS() * 1000)));
            }
            case "manager-kill" -> {
                recording.mark("manager-kill", "manager:" + fault.manager(), null);
                managers.get(fault.manager()).kill();
                scheduleFaultEnd(fault, () -> {
                    FrontProcess restarted = createManager(
                            fault.manager(),
                            managerAddresses.get(fault.manager()).getPort());
                    managers.set(fault.manager(), restarted);
                });
            }
            case "disk-stall" ->
                setDiskFault(fault, () -> {
                    try {
                        Thread.sleep(Math.round(fault.value()));
                    } catch (InterruptedException e) {
                        throw new IOException("killed while it wrote", e);
                    }
                });
            case "disk-full" ->
                setDiskFault(fault, () -> {
                    throw new IOException("No space left on device");
                });
            case "false-claims" -> publishFalseClaims(fault, recording.nowMs() + 1000 * fault.durationS());
            case "members-cut" -> {
                setPartitioned(fault.manager(), true);
                scheduleFaultEnd(fault, () -> setPartitioned(fault.manager(), false));
            }
            case "clock-step" -> managerClocks.get(fault.manager()).step(fault.value());
            default -> throw new IllegalStateException("unknown fault " + fault.kind());
        }
    }

    /**
     * Makes a manager claim failures of boxes that it did not have, until a time. Its statements are validly signed,
     * only their content is false.
     */
    private void publishFalseClaims(Day.Fault fault, double untilMs) {
        FrontProcess lyingManager = managers.get(fault.manager());
        runLater(
                lyingManager.loop(),
                () -> fault.boxes().forEach(box -> {
                    // 64 outcomes replace all that are kept for a box, so that real successes do not weaken the claim
                    for (int i = 0; i < 64; i++) {
                        lyingManager.peers().node().recordOutcome(box, Claim.Kind.FAILED);
                    }
                }));
        if (recording.nowMs() < untilMs) {
            scriptLoop.schedule(FALSE_CLAIM_INTERVAL_MS, () -> publishFalseClaims(fault, untilMs));
        }
    }

    /** Cuts the gossip network between a manager and the others, or restores it. */
    private void setPartitioned(int manager, boolean partitioned) {
        String isolatedAddress =
                "127.0.0.1:" + managers.get(manager).gossipAddress().getPort();
        for (FrontProcess other : managers) {
            runLater(
                    other.loop(),
                    () -> other.peers()
                            .node()
                            .setNetworkConditions((sender, receiver, byConnection) ->
                                    partitioned && sender.equals(isolatedAddress) != receiver.equals(isolatedAddress)
                                            ? -1
                                            : 0));
        }
    }

    private void setDiskFault(Day.Fault fault, SessionLedgerWriter.DiskFault diskFault) {
        managers.get(fault.manager()).setDiskFault(diskFault);
        scheduleFaultEnd(fault, () -> managers.get(fault.manager()).setDiskFault(SessionLedgerWriter.DiskFault.NONE));
    }

    private interface BoxAction {
        void apply(MediaBox box);
    }

    private void applyToBoxes(Day.Fault fault, BoxAction begin, BoxAction end) {
        for (int boxId : fault.boxes()) {
            runLater(loopOf(boxId), () -> begin.apply(boxes.get(boxId)));
            if (fault.durationS() > 0) {
                scriptLoop.schedule(
                        1000 * fault.durationS(), () -> runLater(loopOf(boxId), () -> end.apply(boxes.get(boxId))));
            }
        }
    }

    private void scheduleFaultEnd(Day.Fault fault, Runnable action) {
        if (fault.durationS() > 0) {
            scriptLoop.schedule(1000 * fault.durationS(), action);
        }
    }

    private void startDirectory() {
        recording.mark("directory-up", "directory", null);
        runLater(directoryLoop, () -> {
            try {
                directory.start();
            } catch (IOException e) {
                LOG.error("the box directory cannot listen on its port again", e);
            }
        });
    }

    /** Publishes a directory entry, after the directory's lag. */
    private void updateDirectory(BoxDirectory.Entry entry) {
        runLater(directoryLoop, () -> directory.listAfterLag(entry));
    }

    private void setListedState(int boxId, String state, double startedMs) {
        BoxDirectory.Entry current = directoryEntries.get(boxId);
        BoxDirectory.Entry updated = new BoxDirectory.Entry(
                current.id(),
                state,
                current.kind(),
                current.zone(),
                current.cell(),
                startedMs,
                current.weight(),
                current.address());
        directoryEntries.set(boxId, updated);
        updateDirectory(updated);
    }

    private void crashBox(int boxId) {
        recording.mark("box-down", "box:" + boxId, null);
        runLater(loopOf(boxId), () -> boxes.get(boxId).crash());
        setListedState(boxId, "gone", directoryEntries.get(boxId).startedMs());
    }

    private void restartBox(int boxId) {
        runLater(loopOf(boxId), () -> {
            try {
                boxes.get(boxId).start(true);
                recording.mark("box-start", "box:" + boxId, null);
                double startedMs = clock.millis();
                runLater(scriptLoop, () -> setListedState(boxId, "ready", startedMs));
            } catch (IOException e) {
                LOG.error("box {} cannot listen on its port again", boxId, e);
            }
        });
    }

    /**
     * Continues a rolling deploy at a position of the fault's boxes. Each box drains for the fault's duration and then
     * restarts; the next one follows.
     */
    private void deployFrom(Day.Fault fault, int position) {
        if (position >= fault.boxes().size()) {
            return;
        }
        int boxId = fault.boxes().get(position);
        setListedState(boxId, "draining", directoryEntries.get(boxId).startedMs());
        recording.mark("box-draining", "box:" + boxId, null);
        scriptLoop.schedule(1000 * fault.durationS(), () -> {
            crashBox(boxId);
            scriptLoop.schedule(500, () -> {
                restartBox(boxId);
                deployFrom(fault, position + 1);
            });
        });
    }

    @Override
    public void close() {
        stop();
    }

    /** Stops all processes and event loops. */
    public void stop() {
        scriptLoop.close();
        managers.forEach(FrontProcess::close);
        viewerLoop.close();
        boxLoops.forEach(EventLoop::close);
        directoryLoop.close();
    }

    /**
     * Checks the recording against the rules; must be called after the run.
     *
     * @throws IllegalStateException if entries of the recording were dropped
     */
    public Report report() {
        List<Entry> entries = recording.entries();
        if (recording.isTruncated()) {
            throw new IllegalStateException(
                    "the recording reached its maximum number of entries, so that this run cannot be judged");
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        if (viewers != null) {
            figures.put("segments played", (double) viewers.segmentsPlayed());
            figures.put("segments missed", (double) viewers.segmentsMissed());
            figures.put("seconds stalled", viewers.stalledMs() / 1000);
            figures.put("stalls", (double) viewers.stalls());
            figures.put("stalls at a piece", (double) viewers.stallsAtPieces());
            figures.put("playlists that players refused", (double) viewers.refusedPlaylists());
        }
        FirstSetUps firstSetUps = FirstSetUps.countIn(entries);
        figures.put("first set-ups", (double) firstSetUps.sent());
        figures.put("first set-ups that failed", (double) firstSetUps.failedCount());
        return new Report(
                day.name(),
                day.seed(),
                RuleChecker.judge(ruleParameters(day), entries),
                PlaylistChecker.judge(ruleParameters(day), entries),
                FaultTraces.findAll(entries),
                figures);
    }

    /** Returns the parameters by which the run of a day is judged. */
    public static RuleParameters ruleParameters(Day day) {
        var settings = day.settings().controller();
        List<RuleParameters.ClassParameters> classes = new ArrayList<>();
        for (int classId = 0; classId < settings.classes().size(); classId++) {
            var sessionClass = settings.classes().get(classId);
            classes.add(new RuleParameters.ClassParameters(
                    day.settings().classNames().get(classId),
                    sessionClass.worth(),
                    sessionClass.deadlineMs(),
                    sessionClass.effect(),
                    sessionClass.lowestRung(),
                    sessionClass.seats()));
        }
        var rules = settings.rules();
        return new RuleParameters(
                classes,
                ANSWER_SLACK_MS,
                rules.drainGraceMs(),
                rules.coldFrom(),
                rules.warmAfterMs(),
                rules.tipMultiple(),
                rules.tipMs(),
                day.boxes().maxStreams(),
                rules.extraFree(),
                rules.extraRatio(),
                rules.extraWindowMs());
    }

    /** Returns the counters of all managers that still run, summed by name. */
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
                LOG.info("the counters of a manager are left out because it was killed");
            }
        }
        return result;
    }
}
