package calicovale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.ControllerApi.*;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Example of a complete host, to which README.md refers: it makes settings, passes a list and a request, and carries
 * out the actions.
 */
class HostExampleTest {

    /** Writes each action as text; a real host sends attempts, starts timers and answers viewers here. */
    static final class PrintingActions implements Actions {
        final StringBuilder performed = new StringBuilder();

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            performed.append("set up ").append(id).append(" at ").append(server).append('\n');
        }

        @Override
        public void cancel(String id, int attempt) {
            performed.append("cancel ").append(id).append('\n');
        }

        @Override
        public void rung(String id, int rung) {
            performed
                    .append("play ")
                    .append(id)
                    .append(" at rung ")
                    .append(rung)
                    .append('\n');
        }

        @Override
        public void move(String id) {
            performed.append("move ").append(id).append('\n');
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            performed.append("refuse ").append(id).append('\n');
        }

        @Override
        public void fail(String id) {
            performed.append("fail ").append(id).append('\n');
        }

        @Override
        public void probe(long server) {
            performed.append("probe ").append(server).append('\n');
        }

        @Override
        public void tellPeers(byte[] body) {
            performed.append("tell peers\n");
        }

        @Override
        public void subscribe() {
            performed.append("subscribe\n");
        }

        @Override
        public void timer(double delayMs, String name) {
            // A real host calls handle(clock, new TimerFired(name)) after the delay.
        }

        @Override
        public void log(String text) {
            performed.append(text).append('\n');
        }
    }

    @Test
    void aHostPlaysOneSession() {
        SessionClass lessons = new SessionClass(1, 1000, 4000, Effect.PURE, Group.ALL, 0, 0, 2, 1, false, 0);
        Settings settings = new Settings(
                0,
                1,
                0,
                List.of(lessons),
                List.of(),
                1,
                new Limits(3, 1000, false, false, true),
                new Rules(0.5, 10_000, 2, 1000, 1000, -1, 0, 0, 0),
                new Media(
                        List.of(300.0, 600.0, 1200.0),
                        List.of(0.3, 0.6, 1.0),
                        1,
                        0,
                        10_000,
                        0,
                        List.of(30.0),
                        1,
                        0,
                        7,
                        0.5,
                        1000,
                        3000),
                ReportMode.WITH_OUTCOMES,
                false,
                0,
                0,
                0,
                0);
        PrintingActions actions = new PrintingActions();
        double clock = 50_000;
        SessionController controller = new SessionController(settings, 42, clock, actions);
        controller.handle(
                clock,
                new ServerList(ListScope.COMPLETE, 1, List.of(new ServerEntry(7, ServerState.READY, 0, 0, 0, 0, 1))));
        controller.handle(
                clock, new Request("r1", 0, 0, "viewer", "title", clock + 4000, 0, 0, 1, 2, false, false, false));
        controller.handle(clock + 35, new Started("r1", 0, 7, 35));
        controller.handle(clock + 20_000, new AttemptEnded("r1", 0, 7, Outcome.OK, 20_000, true, Map.of()));
        assertEquals("play r1 at rung 2\nset up r1 at 7\n", actions.performed.toString());
    }
}
