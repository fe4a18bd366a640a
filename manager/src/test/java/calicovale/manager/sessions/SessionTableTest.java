package calicovale.manager.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.manager.sessions.Session.State;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SessionTableTest {
    private final SessionTable table = new SessionTable(3);

    private Session request(long id) {
        return table.request(id, null, "talk", "t", new byte[] {1}, 1000);
    }

    @Test
    void onlyOneAttemptIsInProgress() {
        Session session = request(1);
        table.startAttempt(session, 7, 10);
        assertThrows(IllegalStateException.class, () -> table.startAttempt(session, 8, 11));
        table.attemptFailed(session);
        table.startAttempt(session, 8, 12);
        assertEquals(1, session.attemptNumber());
        assertEquals(8, session.server());
    }

    @Test
    void aPlayingSessionIsCountedAtItsServerAndDropsItsDescription() {
        Session session = request(1);
        table.startAttempt(session, 7, 10);
        table.attemptSucceeded(session);
        assertNull(session.description());
        assertEquals(1, table.playingCountAt(7));
        assertThrows(IllegalStateException.class, () -> table.startAttempt(session, 8, 11));
        assertThrows(IllegalStateException.class, () -> table.attemptFailed(session));
        table.end(session);
        assertEquals(0, table.playingCountAt(7));
        assertNull(table.get(1));
        assertThrows(IllegalStateException.class, () -> table.end(session));
    }

    @Test
    void aSessionThatIsTakenOverPlaysWithAttemptNumberZero() {
        Session session = table.takeOver(5, null, "", "t", 9, 10);
        assertEquals(State.PLAYING, session.state());
        assertEquals(0, session.attemptNumber());
        assertSame(session, table.playingAt(9).get(0));
    }

    @Test
    void theTableIsBoundedAndHoldsAnIdOnce() {
        request(1);
        assertThrows(IllegalStateException.class, () -> request(1));
        request(2);
        request(3);
        assertTrue(table.isFull());
        assertThrows(IllegalStateException.class, () -> request(4));
    }

    /** Checks the counts after any sequence of steps; steps that are not allowed must change nothing. */
    @Property(tries = 300)
    void countsAgreeWithTheStatesOfTheSessions(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 24) Integer> steps) {
        SessionTable testedTable = new SessionTable(4);
        List<Session> all = new ArrayList<>();
        for (int step : steps) {
            int index = step / 5;
            try {
                switch (step % 5) {
                    case 0 -> all.add(testedTable.request(index, null, "talk", "t", null, 0));
                    case 1 -> testedTable.startAttempt(all.get(index), index % 2, 0);
                    case 2 -> testedTable.attemptFailed(all.get(index));
                    case 3 -> testedTable.attemptSucceeded(all.get(index));
                    default -> testedTable.end(all.get(index));
                }
            } catch (IllegalStateException | IndexOutOfBoundsException e) {
                continue;
            }
        }
        for (State state : State.values()) {
            assertEquals(
                    all.stream().filter(s -> s.state() == state).count(), testedTable.count(state), state.toString());
        }
        for (long server = 0; server < 2; server++) {
            long serverNumber = server;
            assertEquals(
                    all.stream()
                            .filter(s -> s.state() == State.PLAYING && s.server() == serverNumber)
                            .count(),
                    testedTable.playingCountAt(serverNumber));
        }
        assertEquals(all.stream().filter(s -> s.state() != State.ENDED).count(), testedTable.size());
    }
}
