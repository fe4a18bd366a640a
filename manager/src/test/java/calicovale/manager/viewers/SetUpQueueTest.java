package calicovale.manager.viewers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.SessionTable;
import calicovale.protocols.net.ByteBudget;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.Connection;
import calicovale.protocols.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which set-ups are decided. */
class SetUpQueueTest {
    private static final int SET_UP_BYTES = 100;

    private final SessionTable sessions = new SessionTable(100);
    private final ByteBudget budget = new ByteBudget(100_000);

    private static ViewerLink newLink(EventLoop loop, ServerSocket server) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        Connection connection = loop.connect(address, "test", 10_000, (c, bytes) -> bytes.position(bytes.limit()));
        return new ViewerLink(null, connection, 0);
    }

    private Session add(SetUpQueue queue, ViewerLink link, long id) {
        Session session = sessions.request(id, link, "talk", "title", new byte[0], 0);
        link.reserve(budget, SET_UP_BYTES);
        link.addUnanswered(session, SET_UP_BYTES);
        queue.add(link, session, null);
        return session;
    }

    /** Guards against many set-ups of one connection being decided before the first one of another. */
    @Test
    void connectionsTakeTurnsAndSetUpsThatWereTakenBackAreSkipped() throws IOException {
        List<Long> decided = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            loop.call(() -> {
                SetUpQueue queue = new SetUpQueue(loop, (session, request) -> decided.add(session.id()));
                ViewerLink busy = newLink(loop, server);
                ViewerLink usual = newLink(loop, server);
                add(queue, busy, 1);
                Session takenBack = add(queue, busy, 2);
                add(queue, busy, 3);
                add(queue, busy, 4);
                add(queue, usual, 10);
                busy.removeUnanswered(takenBack, budget);
                return null;
            });
            while (decided.size() < 4) {
                loop.call(() -> null);
            }
        }
        assertEquals(List.of(1L, 10L, 3L, 4L), decided);
        assertEquals(4 * SET_UP_BYTES, budget.used());
    }
}
