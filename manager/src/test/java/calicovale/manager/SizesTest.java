package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.Rig.Box;
import calicovale.manager.Rig.Peer;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tables, timers and links return to their size, whatever ids, addresses and connections come and go. */
@Timeout(60)
class SizesTest {
    private static final int ROUNDS = 120;
    private static final double ROUND_MS = 30_000;

    @Test
    void afterAnHourOfEverNewIdsAddressesAndLinksAllIsAsSmallAsAtFirst() throws Exception {
        try (Rig rig = new Rig(1)) {
            String before = Rig.entry("s-0", rig.boxes.get(0).port(), "terminated", 0);
            for (int i = 1; i <= ROUNDS; i++) {
                rig.bus.nextAsked();
                try (Box box = new Box();
                        Peer viewer = rig.viewerWithin()) {
                    String now = Rig.entry("s-new-" + i, box.port(), "in_service", 0);
                    rig.bus.write(Rig.event(i + 1, before, now) + "\n");
                    rig.until(() -> rig.process.counts().get("servers") == 1);
                    viewer.send(Rig.setUp(i));
                    Box.Came set = box.serve();
                    assertEquals(i, viewer.next(MessageType.ANM).sessionId());
                    // one is never told of, one ends unheld, one timer is called off, one session ends in order
                    viewer.send(
                            Rig.setUp(1_000_000 + i, "talk", "home:0;copies:12;top:2;viewer:00a1;at:s-nowhere-" + i));
                    viewer.send(Message.release(2_000_000 + i, Cause.NORMAL));
                    set.peer().send(Message.release(3_000_000 + i, Cause.NORMAL), Message.release(i, Cause.NORMAL));
                    // releases of rounds before, which found no connection then, come as well
                    Message over;
                    do {
                        over = viewer.next(MessageType.REL);
                    } while (over.sessionId() != i);
                    before = Rig.entry("s-new-" + i, box.port(), "terminated", 0);
                }
                // the bus is silent meanwhile, so it is asked again
                rig.clock.advance(ROUND_MS);
            }
            rig.bus.nextAsked();
            rig.bus.write(Rig.event(ROUNDS + 2, before) + "\n");
            rig.until(() -> {
                Map<String, Long> counts = rig.process.counts();
                return counts.get("servers") == 0
                        && counts.get("held.standing") == 0
                        && counts.get("links.servers") == 0
                        && counts.get("links.viewers") == 0;
            });
            Map<String, Long> counts = rig.process.counts();
            assertEquals(0, counts.get("held.out"));
            assertTrue(counts.get("controller.servers") <= 4, counts.toString());
            assertEquals(ROUNDS, counts.get("handed-over.unlisted"));
            int timers = rig.process.loop().call(() -> rig.process.loop().queuedTimers());
            assertTrue(timers < 100, timers + " timers");
            int connections = rig.process.loop().call(() -> rig.process.loop().connectionCount());
            assertTrue(connections <= 1, connections + " connections");
        }
    }
}
