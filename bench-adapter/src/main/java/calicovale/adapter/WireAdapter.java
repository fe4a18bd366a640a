package calicovale.adapter;

import calicovale.ControllerApi.Actions;
import calicovale.ControllerApi.AttemptEnded;
import calicovale.ControllerApi.Departed;
import calicovale.ControllerApi.Event;
import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.Note;
import calicovale.ControllerApi.NoteKind;
import calicovale.ControllerApi.Outcome;
import calicovale.ControllerApi.PeerMessage;
import calicovale.ControllerApi.ProbeEnded;
import calicovale.ControllerApi.Request;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.ControllerApi.Settings;
import calicovale.ControllerApi.Started;
import calicovale.ControllerApi.Takeover;
import calicovale.ControllerApi.TimerFired;
import calicovale.SessionController;
import calicovale.host.InvalidValueException;
import calicovale.host.PlatformSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;

/**
 * Translates the bench's messages to events of the session controllers, and the controllers' actions to messages. Each
 * controller is one instance, named by its number in the {@code who} part of a message.
 */
final class WireAdapter {
    private final BufferedReader in;
    private final Appendable out;
    private final PrintStream errors;
    private final StringBuilder reply = new StringBuilder();
    private final TreeMap<Long, List<ServerEntry>> serverListPages = new TreeMap<>();
    private final TreeMap<Integer, SessionController> controllers = new TreeMap<>();
    private double nowMs;

    WireAdapter(BufferedReader in, Appendable out, PrintStream errors) {
        this.in = in;
        this.out = out;
        this.errors = errors;
    }

    /**
     * Reads batches of lines, each ended by {@code GO}, and writes one reply to each, until the input ends. A line
     * that is not accepted is skipped after a message on the error stream.
     */
    void run() throws IOException {
        String line;
        while ((line = in.readLine()) != null) {
            try {
                handleLine(line);
            } catch (InvalidValueException e) {
                errors.println("calicovale adapter: " + e.getMessage());
            }
        }
    }

    private void handleLine(String line) throws IOException, InvalidValueException {
        if (line.equals("GO")) {
            reply.append("EOR\n");
            out.append(reply);
            if (out instanceof java.io.Flushable flushable) {
                flushable.flush();
            }
            reply.setLength(0);
            return;
        }
        if (line.isBlank()) {
            return;
        }
        WireLine message = WireLine.parse(line);
        switch (message.messageName()) {
            case "ROUND" -> nowMs = message.number("tMs");
            case "INVENTORY" ->
                serverListPages.put(
                        message.nonNegativeLong("page"), readServerRows(message.nonNegativeInt("nodesList")));
            case "NEW_INSTANCE" -> {
                int instance = message.nonNegativeInt("who");
                long seed = message.nonNegativeLong("rngSeed");
                Settings settings = PlatformSettings.readController(message);
                try {
                    controllers.put(instance, new SessionController(settings, seed, nowMs, new ActionWriter(instance)));
                } catch (IllegalArgumentException e) {
                    throw new InvalidWireLineException(e.getMessage(), line);
                }
            }
            case "TEARDOWN" -> controllers.remove(message.nonNegativeInt("who"));
            case "DEMAND",
                    "RESUMED",
                    "ACCEPTED",
                    "SETTLED",
                    "CHANGE",
                    "TIMED_OUT_CLIENT",
                    "PEERS_KNOWN",
                    "SAMPLED",
                    "WHISPER",
                    "WAKE" -> dispatch(message);
            default -> throw new InvalidWireLineException("unknown message '" + message.messageName() + "'", line);
        }
    }

    private void dispatch(WireLine message) throws InvalidValueException {
        int instance = message.nonNegativeInt("who");
        SessionController controller = controllers.get(instance);
        if (controller == null) {
            throw new InvalidWireLineException("instance " + instance + " is not running", message.rawLine());
        }
        Event event = toEvent(message);
        if (event == null) {
            return;
        }
        try {
            controller.handle(nowMs, event);
        } catch (IllegalArgumentException e) {
            throw new InvalidWireLineException(e.getMessage(), message.rawLine());
        }
    }

    /** Translates a message to an event; null if the message is to be ignored. */
    private Event toEvent(WireLine message) throws InvalidValueException {
        return switch (message.messageName()) {
            case "DEMAND" -> toRequest(message);
            case "RESUMED" -> new Takeover(toRequest(message), message.nonNegativeLong("server"));
            case "ACCEPTED" ->
                new Started(
                        message.text("tid"),
                        message.nonNegativeInt("hop"),
                        message.nonNegativeLong("server"),
                        message.number("elapsedMs", 0));
            case "SETTLED" ->
                new AttemptEnded(
                        message.text("tid"),
                        message.nonNegativeInt("hop"),
                        message.nonNegativeLong("server"),
                        toOutcome(message),
                        message.number("elapsedMs", 0),
                        message.flag("settled"),
                        message.loadReport("usage"));
            case "CHANGE" -> {
                int kindNumber = message.nonNegativeInt("what");
                NoteKind[] kinds = NoteKind.values();
                // ignore kinds of note that this version does not know
                yield kindNumber < 1 || kindNumber > kinds.length
                        ? null
                        : new Note(
                                message.text("tid"),
                                message.nonNegativeInt("hop", 0),
                                message.nonNegativeLong("server"),
                                kinds[kindNumber - 1],
                                message.number("x"));
            }
            case "TIMED_OUT_CLIENT" -> new Departed(message.text("tid"));
            case "PEERS_KNOWN" -> toServerList(message);
            case "SAMPLED" ->
                new ProbeEnded(
                        message.nonNegativeLong("server"),
                        toOutcome(message),
                        message.number("elapsedMs", 0),
                        message.loadReport("usage"));
            case "WHISPER" -> new PeerMessage(message.nonNegativeInt("src"), messageBody(message));
            default -> new TimerFired(message.text("name"));
        };
    }

    private static Request toRequest(WireLine message) throws InvalidValueException {
        return new Request(
                message.text("tid"),
                message.nonNegativeInt("band"),
                message.nonNegativeInt("realm", 0),
                message.text("object", ""),
                message.text("item", ""),
                message.number("dropDeadMs", Double.MAX_VALUE),
                message.number("workMs", 0),
                message.nonNegativeInt("fromCell", 0),
                message.nonNegativeInt("span", Integer.MAX_VALUE),
                message.nonNegativeInt("top", Integer.MAX_VALUE),
                message.flag("isRetry"),
                message.flag("moved"),
                message.flag("reconnect"));
    }

    private ServerList toServerList(WireLine message) throws InvalidValueException {
        String scopeName = message.text("scope");
        ListScope scope =
                switch (scopeName) {
                    case "INCREMENTAL" -> ListScope.CHANGES;
                    case "FULL" -> ListScope.COMPLETE;
                    case "SAVED" -> ListScope.SAVED;
                    case "FAILED" -> ListScope.FAILED;
                    default ->
                        throw new InvalidWireLineException(
                                "'scope' must be one of INCREMENTAL, FULL, SAVED, FAILED, not '" + scopeName + "'",
                                message.rawLine());
                };
        if (scope == ListScope.FAILED) {
            return new ServerList(scope, 0, List.of());
        }
        List<ServerEntry> entries = serverListPages.get(message.nonNegativeLong("page"));
        if (entries == null) {
            throw new InvalidWireLineException(
                    "no INVENTORY message was received for page " + message.text("page"), message.rawLine());
        }
        return new ServerList(scope, message.has("generation") ? message.nonNegativeLong("generation") : 0, entries);
    }

    /**
     * Reads the ROW lines after an INVENTORY line. Reads all of them even if one is invalid, so that none is left in
     * the input.
     */
    private List<ServerEntry> readServerRows(int count) throws IOException, InvalidValueException {
        List<ServerEntry> result = new ArrayList<>();
        InvalidValueException lastFault = null;
        for (int i = 0; i < count; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new InvalidWireLineException("the input ended after " + i + " of " + count + " ROW lines", "");
            }
            try {
                result.add(parseServerRow(line));
            } catch (InvalidValueException e) {
                lastFault = e;
            }
        }
        if (lastFault != null) {
            throw lastFault;
        }
        return List.copyOf(result);
    }

    private static ServerEntry parseServerRow(String line) throws InvalidValueException {
        WireLine row = WireLine.parse(line);
        if (!row.messageName().equals("ROW")) {
            throw new InvalidWireLineException("a ROW line is expected here", line);
        }
        String availability = row.text("availability");
        ServerState state =
                switch (availability) {
                    case "Ready" -> ServerState.READY;
                    case "Terminating" -> ServerState.DRAINING;
                    case "Gone" -> ServerState.GONE;
                    default ->
                        throw new InvalidWireLineException(
                                "'availability' must be one of Ready, Terminating, Gone, not '" + availability + "'",
                                line);
                };
        return new ServerEntry(
                row.nonNegativeLong("server"),
                state,
                row.nonNegativeInt("hw", 0),
                row.nonNegativeInt("regionPart", 0),
                row.nonNegativeInt("place", 0),
                row.number("lastStartMs", 0),
                row.number("share", 1));
    }

    private static Outcome toOutcome(WireLine message) throws InvalidValueException {
        String code = message.text("result");
        return switch (code) {
            case "200" -> Outcome.OK;
            case "502" -> Outcome.ERROR;
            case "429" -> Outcome.FULL;
            case "408" -> Outcome.TIMEOUT;
            case "521" -> Outcome.CONNECT_FAILED;
            case "520" -> Outcome.RESET;
            case "444" -> Outcome.CANCELLED;
            case "409" -> Outcome.MOOT;
            default ->
                throw new InvalidWireLineException(
                        "'result' must be one of 200, 408, 409, 429, 444, 502, 520, 521, not '" + code + "'",
                        message.rawLine());
        };
    }

    private static byte[] messageBody(WireLine message) throws InvalidValueException {
        String hex = message.text("raw", "-");
        try {
            return hex.equals("-") ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new InvalidWireLineException(
                    "'raw' must be an even number of hex digits, not '" + hex + "'", message.rawLine());
        }
    }

    /** Appends the actions of one controller to the reply. */
    private final class ActionWriter implements Actions {
        private final String instanceField;

        ActionWriter(int instance) {
            this.instanceField = " who=" + instance;
        }

        private StringBuilder beginLine(String messageName) {
            return reply.append(messageName).append(instanceField);
        }

        private StringBuilder beginLine(String messageName, String sessionId) {
            return beginLine(messageName).append(" tid=").append(sessionId);
        }

        @Override
        public void attempt(String id, long server, double timeoutMs) {
            beginLine("HAND_OFF", id)
                    .append(" server=")
                    .append(server)
                    .append(" allowForMs=")
                    .append(formatMs(timeoutMs))
                    .append('\n');
        }

        @Override
        public void cancel(String id, int attempt) {
            beginLine("STOP_ATTEMPT", id).append(" hop=").append(attempt).append('\n');
        }

        @Override
        public void rung(String id, int rung) {
            beginLine("SET_RUNG", id).append(" grade=").append(rung).append('\n');
        }

        @Override
        public void move(String id) {
            beginLine("RELOCATE", id).append('\n');
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            beginLine("DECLINE", id)
                    .append(" backoffMs=")
                    .append(formatMs(retryAfterMs))
                    .append('\n');
        }

        @Override
        public void fail(String id) {
            beginLine("FAIL", id).append('\n');
        }

        @Override
        public void probe(long server) {
            beginLine("PING").append(" server=").append(server).append('\n');
        }

        @Override
        public void tellPeers(byte[] body) {
            beginLine("TELL")
                    .append(" neighbourId=all raw=")
                    .append(body.length == 0 ? "-" : HexFormat.of().formatHex(body))
                    .append('\n');
        }

        @Override
        public void subscribe() {
            beginLine("TAIL").append(" want=1\n");
        }

        @Override
        public void timer(double delayMs, String name) {
            beginLine("TIMER")
                    .append(" waitMs=")
                    .append(formatMs(delayMs))
                    .append(" name=")
                    .append(name)
                    .append('\n');
        }

        @Override
        public void log(String text) {
            beginLine("RECORD").append(" what=").append(text.replace('\n', ' ')).append('\n');
        }

        /** Formats a time with three decimals, the resolution of the wire, and without an exponent. */
        private static String formatMs(double valueMs) {
            long micros = Math.round(valueMs * 1000);
            return (micros < 0 ? "-" : "") + Math.abs(micros) / 1000 + "."
                    + Long.toString(1000 + Math.abs(micros) % 1000).substring(1);
        }
    }
}
