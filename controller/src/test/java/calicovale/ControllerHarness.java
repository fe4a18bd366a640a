package calicovale;

import calicovale.ControllerApi.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Test harness: a controller with settings that a test may change before {@link #start}, driven by events. */
final class ControllerHarness {
    /** Clock time in ms at which a harness starts. */
    static final double START_MS = 100_000;

    List<SessionClass> classes = List.of(pureClass(3, 0, 0), pureClass(1, 0, 0));
    List<Tenant> tenants = List.of();
    Limits limits = new Limits(4, 1000, false, false, true);
    Rules rules = new Rules(0.5, 10_000, 2, 1000, 250, -1, 0, 0, 0);
    double uplinkKb;
    int racks;
    double fullFrom;
    double join = 1;
    double moveCost = 0.05;
    int controllers = 1;
    int self;
    int zone;
    double zoneCost;
    boolean askForList;
    double streamsPerServer = 30;
    double linkKbPerWeight = 10_000;
    long seed = 7;
    double now = START_MS;
    final RecordingActions actions = new RecordingActions();
    SessionController controller;
    private int nextListVersion = 1;

    /** Returns a class whose set-ups may run twice without harm. */
    static SessionClass pureClass(double worth, int floor, int seats) {
        return new SessionClass(worth, 1000, 4000, Effect.PURE, Group.ALL, 5000, floor, 3, 1, false, seats);
    }

    /** Returns a class of worth 1 with the given effect; its tokens hold for 500 ms. */
    static SessionClass effectClass(Effect effect, Group group) {
        return new SessionClass(1, 1000, 4000, effect, group, 500, 0, 3, 1, false, 0);
    }

    /** Creates the controller with the present settings. */
    ControllerHarness start() {
        Media media = new Media(
                List.of(200.0, 400.0, 800.0, 1600.0),
                List.of(0.25, 0.5, 0.75, 1.0),
                12,
                racks,
                linkKbPerWeight,
                uplinkKb,
                List.of(streamsPerServer),
                join,
                fullFrom,
                7,
                0.5,
                1000,
                3000);
        controller = new SessionController(
                new Settings(
                        self,
                        controllers,
                        zone,
                        classes,
                        tenants,
                        0.1,
                        limits,
                        rules,
                        media,
                        ReportMode.WITH_OUTCOMES,
                        askForList,
                        0.2,
                        moveCost,
                        zoneCost,
                        0.01),
                seed,
                now,
                actions);
        return this;
    }

    /**
     * Adds servers that started long ago. A session that is handed over and ended at once makes the controller take
     * them for warm: without a hand-over it treats every server as possibly cold at first.
     */
    ControllerHarness addServers(int count) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(listEntry(i + 1, ServerState.READY, i, 0));
        }
        sendList(ListScope.SAVED, entries);
        controller.handle(now, new Takeover(newRequest("old", 0, 0), 1));
        controller.handle(now, new AttemptEnded("old", 0, 1, Outcome.OK, 1, true, Map.of()));
        return this;
    }

    /** Returns a list entry of kind 0, zone 0 and weight 1. */
    static ServerEntry listEntry(long id, ServerState state, int cell, double startedMs) {
        return new ServerEntry(id, state, 0, 0, cell, startedMs, 1);
    }

    /** Passes a list with the next version to the controller. */
    void sendList(ListScope scope, List<ServerEntry> entries) {
        controller.handle(now, new ServerList(scope, nextListVersion++, entries));
    }

    /** Returns a request for title t, which all cells hold; its viewer waits for 4 s. */
    Request newRequest(String id, int classIndex, int top) {
        return new Request(id, classIndex, 0, "v" + id, "t", now + 4000, 0, 0, 12, top, false, false, false);
    }

    /** Passes a request to the controller. */
    ControllerHarness request(String id, int classIndex, int top) {
        controller.handle(now, newRequest(id, classIndex, top));
        return this;
    }

    /** Reports that the request's last attempt plays. */
    ControllerHarness started(String id) {
        controller.handle(now, new Started(id, (int) actions.count("attempt", id) - 1, actions.lastServer.get(id), 50));
        return this;
    }

    /** Reports the end of the request's last attempt. */
    ControllerHarness ended(String id, Outcome outcome) {
        boolean closed = outcome == Outcome.OK;
        controller.handle(
                now,
                new AttemptEnded(
                        id,
                        (int) actions.count("attempt", id) - 1,
                        actions.lastServer.get(id),
                        outcome,
                        50,
                        closed,
                        Map.of()));
        return this;
    }

    /** Passes a note on the request's session to the controller. */
    ControllerHarness note(String id, NoteKind kind, double value) {
        controller.handle(now, new Note(id, 0, actions.lastServer.get(id), kind, value));
        return this;
    }

    /** Advances the clock and fires the controller's tick timer. */
    ControllerHarness tick(double elapsedMs) {
        now += elapsedMs;
        controller.handle(now, new TimerFired("tick"));
        return this;
    }
}
