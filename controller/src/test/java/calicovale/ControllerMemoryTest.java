package calicovale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.ControllerApi.Effect;
import calicovale.ControllerApi.Group;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.Rules;
import calicovale.ControllerApi.SessionClass;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the controller's memory does not grow with the number of requests that it has handled. */
class ControllerMemoryTest {
    /** Number of garbage collections before the heap is measured; one may leave objects with finalizers behind. */
    private static final int COLLECTIONS = 3;
    /** Bound in bytes of the growth of the heap, far below one object for each request. */
    private static final long MAX_GROWTH_BYTES = 2_000_000;

    private static long usedHeapBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** One request from its arrival to its end; {@code number} differs between requests. */
    private interface RequestLife {
        void run(ControllerHarness harness, int number);
    }

    /** Runs many requests and checks that the heap has not grown. */
    private static void assertNoGrowth(ControllerHarness harness, int requests, RequestLife life) {
        long usedBeforeBytes = 0;
        for (int i = 0; i < requests; i++) {
            harness.now++;
            life.run(harness, i);
            harness.actions.lines.clear();
            harness.actions.lastServer.clear();
            harness.actions.lastRung.clear();
            usedBeforeBytes = i == requests / 100 ? usedHeapBytes() : usedBeforeBytes;
        }
        long growthBytes = usedHeapBytes() - usedBeforeBytes;
        assertTrue(growthBytes < MAX_GROWTH_BYTES, growthBytes + " bytes more after " + requests + " requests");
    }

    /** Guards against a crash: times of refused requests were kept for ever and filled the heap. */
    @ParameterizedTest
    @ValueSource(doubles = {-1, 5})
    void refusedRequestsTakeNoMemoryWhetherOrNotABudgetLimitsFurtherAttempts(double extraFree) {
        ControllerHarness harness = new ControllerHarness();
        harness.rules = new Rules(0.5, 10_000, 2, 1000, 250, extraFree, 0.5, 10_000, 0);
        assertNoGrowth(harness.start(), 500_000, (h, number) -> h.request("r" + number, 0, 0));
    }

    /** Guards against a crash: times of further attempts were kept for ever where no budget limits them. */
    @Test
    void furtherAttemptsTakeNoMemory() {
        ControllerHarness harness = new ControllerHarness().start().addServers(2);
        assertNoGrowth(harness, 300_000, (h, number) -> {
            String id = "r" + number;
            h.request(id, 0, 0).ended(id, Outcome.MOOT).ended(id, Outcome.MOOT);
        });
    }

    /** Guards against growth: the numbers of seats and of shared streams kept an entry for each title ever played. */
    @Test
    void titlesThatNoSessionPlaysAnyMoreTakeNoMemory() {
        ControllerHarness harness = new ControllerHarness();
        harness.classes = List.of(new SessionClass(1, 1000, 4000, Effect.PURE, Group.ALL, 0, 0, 3, 1, true, 2));
        assertNoGrowth(harness.start().addServers(2), 100_000, (h, number) -> {
            String id = "r" + number;
            String title = "title " + number;
            h.controller.handle(
                    h.now, new Request(id, 0, 0, "v", title, h.now + 4000, 0, 0, 12, 0, false, false, false));
            h.started(id).ended(id, Outcome.OK);
        });
    }
}
