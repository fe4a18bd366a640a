package calicovale.manager.servers;

import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.manager.RateLimitedLog;
import calicovale.manager.sessions.Session;
import calicovale.manager.sessions.Session.State;
import calicovale.manager.sessions.SessionTable;
import calicovale.protocols.signal.Cause;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.util.Map;

/**
 * Handles the messages of video servers: answers and refusals end attempts, releases end playing sessions, notes are
 * reported.
 */
final class ServerMessageHandler {
    private final ServerPool pool;
    private final SessionTable sessions;
    private final RateLimitedLog log;
    private final ServerPool.Listener listener;

    ServerMessageHandler(ServerPool pool, SessionTable sessions, RateLimitedLog log, ServerPool.Listener listener) {
        this.pool = pool;
        this.sessions = sessions;
        this.log = log;
        this.listener = listener;
    }

    /** Handles a message of a server. Returns what is wrong with it, or null. */
    String handle(ServerLink link, Message message) {
        if (message.malformed()) {
            return "malformed message: " + message;
        }
        Session session = sessions.get(message.sessionId());
        boolean heldHere = session != null && session.server() == link.server.number;
        switch (message.type()) {
            case MessageType.ACM -> {
                return null;
            }
            case MessageType.RLC -> {
                pool.releaseConfirmed(message.sessionId());
                return null;
            }
            case MessageType.ANM -> {
                return heldHere && session.state() == State.ATTEMPTING
                        ? handleAnswer(link, session, message)
                        : handleUnexpectedAnswer(link, message, heldHere);
            }
            case MessageType.REL -> {
                link.send(Message.of(MessageType.RLC, message.sessionId()));
                if (heldHere && session.state() == State.ATTEMPTING) {
                    handleRefusal(session, message);
                } else if (heldHere && session.state() == State.PLAYING) {
                    handleRelease(session, message);
                } else {
                    log.count("server.release-of-none");
                    if (session == null) {
                        listener.unknownSessionReleased(message.sessionId());
                    }
                }
                return null;
            }
            case MessageType.CPG -> {
                if (heldHere && session.state() == State.PLAYING) {
                    handleNote(session, message);
                }
                return null;
            }
            default -> {
                return "unexpected message of type " + message.type();
            }
        }
    }

    private String handleAnswer(ServerLink link, Session session, Message message) {
        Attempt attempt = pool.attemptOf(session);
        byte[] description = message.value(Parameter.DESCRIPTION);
        if (attempt == null || attempt.link != link) {
            return handleUnexpectedAnswer(link, message, true);
        }
        if (description == null) {
            return "answer without a description";
        }
        pool.attemptSucceeded(attempt, description);
        return null;
    }

    /** Releases a session that was answered and is not held for this server; ignores a repeated answer. */
    private String handleUnexpectedAnswer(ServerLink link, Message message, boolean heldHere) {
        log.count("server.answer-of-none");
        if (!heldHere) {
            Message release = Message.release(message.sessionId(), Cause.NORMAL);
            if (link.closing) {
                pool.sendTo(link.server.number, release);
            } else {
                link.send(release);
            }
        }
        return null;
    }

    private void handleRefusal(Session session, Message message) {
        Attempt attempt = pool.attemptOf(session);
        Outcome outcome =
                switch (message.cause()) {
                    case Cause.NO_CIRCUIT -> Outcome.FULL;
                    case Cause.UNAVAILABLE -> Outcome.ERROR;
                    case Cause.TIMER_EXPIRY -> Outcome.MOOT;
                    default -> Outcome.RESET;
                };
        pool.endAttempt(attempt, outcome, loadReport(message));
    }

    private void handleRelease(Session session, Message message) {
        Outcome outcome =
                switch (message.cause()) {
                    case Cause.NORMAL -> Outcome.OK;
                    case Cause.CANCELLED -> Outcome.CANCELLED;
                    default -> Outcome.RESET;
                };
        listener.sessionEnded(session, session.server(), outcome, loadReport(message));
    }

    private void handleNote(Session session, Message message) {
        NoteKind kind =
                switch (String.valueOf(message.text(Parameter.NOTE))) {
                    case "quality" -> NoteKind.DELIVERED_SHARE;
                    case "profile" -> NoteKind.RUNG;
                    case "nic" -> NoteKind.LINK_USE;
                    case "tor" -> NoteKind.UPLINK_USE;
                    default -> null;
                };
        double value = ServerReportParser.nonNegativeNumber(message.text(Parameter.VALUE));
        if (kind == null || Double.isNaN(value)) {
            log.count("server.note-unknown");
            return;
        }
        listener.noteReceived(session, kind, value);
    }

    private Map<String, Double> loadReport(Message message) {
        return ServerReportParser.loadReport(message.text(Parameter.LOAD));
    }
}
