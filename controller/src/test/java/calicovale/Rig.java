package calicovale;

import calicovale.ControllerApi.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A controller with settings that each test changes where it needs to, driven through the interface. */
final class Rig {
    static final double T0 = 100_000;
    List<SessionClass> classes = List.of(pure(3, 0, 0), pure(1, 0, 0));
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
    boolean ask;
    double kindStreams = 30;
    double link = 10_000;
    long seed = 7;
    double now = T0;
    final Recorder out = new Recorder();
    SessionController controller;
    private int nextList = 1;

    static SessionClass pure(double worth, int floor, int seats) {
        return new SessionClass(worth, 1000, 4000, Effect.PURE, Group.ALL, 5000, floor, 3, 1, false, seats);
    }

    static SessionClass of(Effect effect, Group group) {
        return new SessionClass(1, 1000, 4000, effect, group, 500, 0, 3, 1, false, 0);
    }

    Rig start() {
        Media media = new Media(
                List.of(200.0, 400.0, 800.0, 1600.0),
                List.of(0.25, 0.5, 0.75, 1.0),
                12,
                racks,
                link,
                uplinkKb,
                List.of(kindStreams),
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
                        ask,
                        0.2,
                        moveCost,
                        zoneCost,
                        0.01),
                seed,
                now,
                out);
        return this;
    }

    /** A long-running pool: old starts, and a hand-over so that no server may be cold unknown to us. */
    Rig servers(int count) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(i + 1, ServerState.READY, i, 0));
        }
        list(ListScope.SAVED, entries);
        controller.handle(now, new Takeover(demand("old", 0, 0), 1));
        controller.handle(now, new AttemptEnded("old", 0, 1, Outcome.OK, 1, true, Map.of()));
        return this;
    }

    static ServerEntry entry(long id, ServerState state, int cell, double startedMs) {
        return new ServerEntry(id, state, 0, 0, cell, startedMs, 1);
    }

    void list(ListScope scope, List<ServerEntry> entries) {
        controller.handle(now, new ServerList(scope, nextList++, entries));
    }

    Request demand(String id, int c, int top) {
        return new Request(id, c, 0, "v" + id, "t", now + 4000, 0, 0, 12, top, false, false, false);
    }

    Rig request(String id, int c, int top) {
        controller.handle(now, demand(id, c, top));
        return this;
    }

    Rig started(String id) {
        controller.handle(now, new Started(id, (int) out.count("attempt", id) - 1, out.server.get(id), 50));
        return this;
    }

    Rig ended(String id, Outcome outcome) {
        boolean closed = outcome == Outcome.OK;
        controller.handle(
                now,
                new AttemptEnded(
                        id, (int) out.count("attempt", id) - 1, out.server.get(id), outcome, 50, closed, Map.of()));
        return this;
    }

    Rig note(String id, NoteKind kind, double value) {
        controller.handle(now, new Note(id, 0, out.server.get(id), kind, value));
        return this;
    }

    Rig tick(double ms) {
        now += ms;
        controller.handle(now, new TimerFired("tick"));
        return this;
    }
}
