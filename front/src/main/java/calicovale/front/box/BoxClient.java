package calicovale.front.box;

import calicovale.front.settings.FrontSettings.Times;
import calicovale.front.stream.ReconnectingEventStream;
import calicovale.host.Backoff;
import calicovale.host.Counters;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.http.HttpHead;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of one media box: sends set-ups and messages on sessions, and keeps the box's event stream open while
 * the box has sessions of this manager. A stream that fails is reopened after a backoff delay with jitter; events
 * sent meanwhile are lost. The sessions at the box are considered lost when its address refuses connections, when the
 * directory lists it at another address, or after a period without contact. After a restart of the box, the list of
 * its sessions shows which are lost. Only for use on the loop's thread.
 */
public final class BoxClient {
    private static final Logger LOG = LoggerFactory.getLogger(BoxClient.class);
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Upper bound of the size of one event of a box, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Timeout of a message on a session, in ms. */
    private static final double MESSAGE_TIMEOUT_MS = 2000;

    /** Receives the events of a box, on the loop's thread. */
    public interface Listener {
        /**
         * Called for a note on the use of a link or the delivered share.
         *
         * @param requestId request id of one of this manager's sessions at the box
         * @param kind kind of the note, as the box sent it
         * @param value its value, as the box sent it
         */
        void onNote(BoxClient box, String requestId, String kind, double value);

        /** Called when a session has ended at the box; {@code load} is the load reported with it, or empty. */
        void onEnded(BoxClient box, String attemptKey, String reason, Map<String, Double> load);

        /** Called when a segment was delivered completely; {@code path} is relative to the session's base. */
        void onServed(BoxClient box, String attemptKey, String path);

        /**
         * Called when the event stream is connected.
         *
         * @param attemptKeys attempt keys of this manager's sessions at the box
         * @param requestedAtMs monotonic time, in ms, at which the request for the stream was sent
         */
        void onHeld(BoxClient box, Set<String> attemptKeys, double requestedAtMs);

        /** Called when all sessions of this manager at the box are considered lost. */
        void onLost(BoxClient box, String reason);
    }

    /** Receives the outcome of a set-up. One of its methods is called, once. */
    public interface SetUpListener {
        /** The box set the session up (status 201); {@code baseUri} is the URI of its base, with a trailing slash. */
        void started(String baseUri, HttpHead head);

        /** The box answered with another status; {@code load} is the load reported with it, or empty. */
        void answered(int status, Map<String, Double> load);

        /** There was no response, or a malformed one. */
        void failed(Failure failure);
    }

    private final long id;
    private final EventLoop loop;
    private final HttpClient client;
    private final Times times;
    private final ReconnectingEventStream eventStream;
    private final String managerProcess;
    private final Listener listener;
    private final Counters counters;
    private InetSocketAddress address;
    private String incarnation;
    /**
     * Monotonic time, in ms, since which the event stream is disconnected or the sessions are lost; -1 while connected.
     */
    private double disconnectedAtMs = -1;

    /**
     * Creates a client without an open event stream.
     *
     * @param id the box's number in the directory
     * @param managerProcess name of this manager's process, which the box distinguishes from earlier ones
     */
    public BoxClient(
            long id,
            InetSocketAddress address,
            EventLoop loop,
            HttpClient client,
            Times times,
            Backoff backoff,
            String managerProcess,
            Counters counters,
            Listener listener) {
        this.id = id;
        this.address = address;
        this.loop = loop;
        this.client = client;
        this.times = times;
        this.managerProcess = managerProcess;
        this.eventStream = new ReconnectingEventStream(
                loop,
                client,
                this::address,
                connectionName(),
                "/v1/events?manager=" + managerProcess,
                MAX_EVENT_BYTES,
                times.silentMs(),
                backoff,
                counters,
                new ReconnectingEventStream.Listener() {
                    @Override
                    public void onEvent(String type, String data, double requestedAtMs) {
                        onStreamEvent(type, data, requestedAtMs);
                    }

                    @Override
                    public void onDisconnected(Failure failure) {
                        onStreamDisconnected(failure);
                    }

                    @Override
                    public void onPeriodicCheck() {
                        if (disconnectedAtMs >= 0 && nowMs() - disconnectedAtMs > times.lostMs()) {
                            onSessionsLost("no contact for " + (long) times.lostMs() + " ms");
                        }
                    }
                });
        this.counters = counters;
        this.listener = listener;
    }

    /** Returns the box's number in the directory. */
    public long id() {
        return id;
    }

    /** Returns the address at which the directory last listed the box. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Sets the address at which the directory lists the box. A new address means a new process: the sessions are lost.
     */
    public void address(InetSocketAddress next) {
        if (!next.equals(address)) {
            client.closeIdleConnections(address);
            address = next;
            if (eventStream.isStarted()) {
                onSessionsLost("listed at another address");
            }
        }
    }

    private String connectionName() {
        return "box:" + id;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /**
     * Sends a set-up. After the timeout it is canceled and its connection closed.
     *
     * @param key key of the session
     * @param body the request's body; manager, key and leaseMs are added to it
     * @param timeoutMs timeout, in ms
     */
    public HttpClient.Call setUp(String key, ObjectNode body, double timeoutMs, SetUpListener setUpListener) {
        body.put("manager", managerProcess).put("key", key).put("leaseMs", times.leaseMs());
        return client.send(
                address,
                connectionName(),
                "POST",
                "/v1/sessions",
                jsonContentType(),
                utf8(body),
                timeoutMs,
                (head, content, failure) -> {
                    if (failure != null) {
                        setUpListener.failed(failure);
                        return;
                    }
                    if (head.status() != 201) {
                        setUpListener.answered(head.status(), LoadReport.of(head));
                        return;
                    }
                    try {
                        JsonNode response = Documents.MAPPER.readTree(content);
                        String base = response.path("base").asText("");
                        if (!base.matches("/s/[A-Za-z0-9._~-]+/")) {
                            throw new IllegalArgumentException("the response has no valid base");
                        }
                        setUpListener.started(
                                "http://" + address.getHostString() + ":" + address.getPort() + base, head);
                    } catch (java.io.IOException | IllegalArgumentException e) {
                        counters.increment("box-answers-malformed");
                        LOG.warn("box {} sent a malformed response to a set-up; the set-up is released", id);
                        release(key);
                        setUpListener.failed(Failure.MALFORMED);
                    }
                });
    }

    /** Confirms a set-up, so that the box keeps it beyond its lease. Runs {@code refused} if the box refuses that. */
    public void confirm(String key, Runnable refused) {
        sendMessage("PUT", key, Documents.MAPPER.createObjectNode().put("confirmed", true), refused);
    }

    /**
     * Sends a session's rung.
     *
     * @param changeNumber number of the message; of messages that arrive out of order the box keeps the one of the
     *     highest number
     */
    public void sendRung(String key, int rung, int changeNumber) {
        sendMessage(
                "PUT",
                key,
                Documents.MAPPER.createObjectNode().put("rung", rung).put("change", changeNumber),
                null);
    }

    /** Releases a session or a set-up at the box. */
    public void release(String key) {
        sendMessage("DELETE", key, null, null);
    }

    /** Sends a message on a session; {@code body} and {@code refused} may be null. */
    private void sendMessage(String method, String key, ObjectNode body, Runnable refused) {
        client.send(
                address,
                connectionName(),
                method,
                "/v1/sessions/" + key,
                body == null ? new Headers() : jsonContentType(),
                body == null ? EMPTY_BODY : utf8(body),
                MESSAGE_TIMEOUT_MS,
                (head, content, failure) -> {
                    if (failure != null) {
                        counters.increment("box-messages-lost");
                    } else if (head.status() >= 400 && refused != null) {
                        refused.run();
                    }
                });
    }

    /** Fetches a lecture's media playlist at a rung. */
    public void fetchSource(String title, int rung, HttpClient.FullResponseHandler handler) {
        client.send(
                address,
                connectionName(),
                "GET",
                "/v1/titles/" + title + "/" + rung + ".m3u8",
                new Headers(),
                EMPTY_BODY,
                times.sourceMs(),
                handler);
    }

    private static Headers jsonContentType() {
        return new Headers().add("Content-Type", "application/json");
    }

    private static byte[] utf8(ObjectNode body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Opens the box's event stream and keeps it open. */
    public void openEventStream() {
        eventStream.start();
    }

    /** Closes the box's event stream. */
    public void closeEventStream() {
        disconnectedAtMs = -1;
        eventStream.stop();
    }

    private void onStreamDisconnected(Failure failure) {
        if (disconnectedAtMs < 0) {
            disconnectedAtMs = nowMs();
        }
        if (failure == Failure.CONNECT_REFUSED) {
            client.closeIdleConnections(address);
            onSessionsLost("its address refuses connections");
        }
    }

    private void onSessionsLost(String reason) {
        disconnectedAtMs = nowMs();
        incarnation = null;
        counters.increment("boxes-lost");
        LOG.info("box {} is considered lost: {}", id, reason);
        listener.onLost(this, reason);
    }

    private void onStreamEvent(String type, String data, double requestedAtMs) {
        JsonNode event;
        try {
            event = Documents.MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            counters.increment("box-events-malformed");
            return;
        }
        switch (type) {
            case "hello" -> {
                String newIncarnation = event.path("incarnation").asText();
                if (incarnation != null && !incarnation.equals(newIncarnation)) {
                    // the sessions of the previous process are lost; the list of held sessions below lacks them
                    counters.increment("boxes-restarted");
                    client.closeIdleConnections(address);
                }
                incarnation = newIncarnation;
                disconnectedAtMs = -1;
                eventStream.resetBackoff();
                Set<String> keys = new HashSet<>();
                event.path("held").forEach(key -> keys.add(key.asText()));
                listener.onHeld(this, keys, requestedAtMs);
            }
            case "note" ->
                listener.onNote(
                        this,
                        event.path("session").asText(),
                        event.path("kind").asText(),
                        event.path("value").asDouble());
            case "ended" ->
                listener.onEnded(
                        this,
                        event.path("key").asText(),
                        event.path("reason").asText(),
                        LoadReport.parse(event.path("load").asText("")));
            case "served" ->
                event.path("last")
                        .properties()
                        .forEach(served -> listener.onServed(
                                this, served.getKey(), served.getValue().asText()));
            default -> counters.increment("box-events-unknown");
        }
    }
}
