package calicovale.front.box;

import calicovale.front.settings.FrontSettings.Times;
import calicovale.front.stream.HeldStream;
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
 * Owns the talk with one media box: set-ups and messages on sessions, and the stream of news that is held while the box has
 * sessions of this manager. A stream that breaks is tried again with spread and bounded waits; what is missed meanwhile is
 * never made up. The box counts as lost when nobody listens any more, when another process answers, or after a stated time
 * without contact.
 */
public final class BoxLink {
    private static final Logger LOG = LoggerFactory.getLogger(BoxLink.class);
    private static final byte[] NONE = new byte[0];
    /** Most bytes of one event of a box. */
    private static final int EVENT_BYTES = 1 << 20;

    private static final double MESSAGE_MS = 2000;

    /** Hears of the box, on the loop. */
    public interface Listener {
        /** News of how full a link is or how much is delivered; {@code session} is one of this manager's there. */
        void onNote(BoxLink box, String session, String kind, double value);

        /** A session ended at the box. */
        void onEnded(BoxLink box, String key, String reason, Map<String, Double> load);

        /** A segment, by its path below the session's base, was delivered whole. */
        void onServed(BoxLink box, String key, String path);

        /** The box, asked at {@code askedAtMs} (monotonic), told which of this manager's sessions it has. */
        void onHeld(BoxLink box, Set<String> keys, double askedAtMs);

        /** All sessions there are lost. */
        void onLost(BoxLink box, String why);
    }

    /** Hears how a set-up ended; once. */
    public interface SetUpListener {
        /** Status 201: the session's base path. */
        void started(String base, HttpHead head);

        /** Any other answer. */
        void answered(int status, Map<String, Double> load);

        /** No answer. */
        void failed(Failure failure);
    }

    private final long id;
    private final EventLoop loop;
    private final HttpClient client;
    private final Times times;
    private final HeldStream news;
    private final String manager;
    private final Listener listener;
    private final Counters counters;
    private InetSocketAddress address;
    private String incarnation;
    private double brokenAt = -1;

    /** {@code manager} names this manager's process to the box. */
    public BoxLink(
            long id,
            InetSocketAddress address,
            EventLoop loop,
            HttpClient client,
            Times times,
            Backoff backoff,
            String manager,
            Counters counters,
            Listener listener) {
        this.id = id;
        this.address = address;
        this.loop = loop;
        this.client = client;
        this.times = times;
        this.manager = manager;
        this.news = new HeldStream(
                loop,
                client,
                this::address,
                name(),
                "/v1/events?manager=" + manager,
                EVENT_BYTES,
                times.silent(),
                backoff,
                counters,
                new HeldStream.Listener() {
                    @Override
                    public void onEvent(String type, String data, double askedAtMs) {
                        news(type, data, askedAtMs);
                    }

                    @Override
                    public void onBroken(Failure failure) {
                        broken(failure);
                    }

                    @Override
                    public void onLook() {
                        if (brokenAt >= 0 && nowMs() - brokenAt > times.lost()) {
                            lost("no contact for " + (long) times.lost() + " ms");
                        }
                    }
                });
        this.counters = counters;
        this.listener = listener;
    }

    /** The box's number in the directory. */
    public long id() {
        return id;
    }

    /** Where the box is. */
    public InetSocketAddress address() {
        return address;
    }

    /** The directory lists the box at another address: a new process. */
    public void address(InetSocketAddress next) {
        if (!next.equals(address)) {
            client.closeIdleConnections(address);
            address = next;
            if (news.wanted()) {
                lost("listed at another address");
            }
        }
    }

    private String name() {
        return "box:" + id;
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    /** Sends one set-up; it is called off after {@code timeoutMs}, and its connection closed with it. */
    public HttpClient.Call setUp(String key, ObjectNode body, double timeoutMs, SetUpListener heard) {
        body.put("manager", manager).put("key", key).put("leaseMs", times.lease());
        return client.send(
                address, name(), "POST", "/v1/sessions", json(), bytes(body), timeoutMs, (head, content, failure) -> {
                    if (failure != null) {
                        heard.failed(failure);
                        return;
                    }
                    if (head.status() != 201) {
                        heard.answered(head.status(), LoadReport.of(head));
                        return;
                    }
                    try {
                        JsonNode answer = Documents.MAPPER.readTree(content);
                        String base = answer.path("base").asText("");
                        if (!base.matches("/s/[A-Za-z0-9._~-]+/")) {
                            throw new IllegalArgumentException("no base");
                        }
                        heard.started("http://" + address.getHostString() + ":" + address.getPort() + base, head);
                    } catch (java.io.IOException | IllegalArgumentException e) {
                        counters.increment("box-answers-malformed");
                        LOG.warn("box {}: a set-up's answer is malformed", id);
                        release(key);
                        heard.failed(Failure.MALFORMED);
                    }
                });
    }

    /** Confirms a set-up: the box then keeps it beyond its lease. {@code refused} is called if the box has let it go. */
    public void confirm(String key, Runnable refused) {
        message("PUT", key, Documents.MAPPER.createObjectNode().put("confirmed", true), refused);
    }

    /** Tells a session's rung; of messages that overtake each other the box keeps the one of the highest number. */
    public void rung(String key, int rung, int change) {
        message(
                "PUT",
                key,
                Documents.MAPPER.createObjectNode().put("rung", rung).put("change", change),
                null);
    }

    /** Lets a session or a set-up go. */
    public void release(String key) {
        message("DELETE", key, null, null);
    }

    private void message(String method, String key, ObjectNode body, Runnable refused) {
        client.send(
                address,
                name(),
                method,
                "/v1/sessions/" + key,
                body == null ? new Headers() : json(),
                body == null ? NONE : bytes(body),
                MESSAGE_MS,
                (head, content, failure) -> {
                    if (failure != null) {
                        counters.increment("box-messages-lost");
                    } else if (head.status() >= 400 && refused != null) {
                        refused.run();
                    }
                });
    }

    /** Fetches a lecture's media playlist at a rung. */
    public void source(String title, int rung, HttpClient.FullResponseHandler handler) {
        client.send(
                address,
                name(),
                "GET",
                "/v1/titles/" + title + "/" + rung + ".m3u8",
                new Headers(),
                NONE,
                times.source(),
                handler);
    }

    private static Headers json() {
        return new Headers().add("Content-Type", "application/json");
    }

    private static byte[] bytes(ObjectNode body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Holds the stream of news from now on. */
    public void watch() {
        news.hold();
    }

    /** Holds it no more. */
    public void unwatch() {
        brokenAt = -1;
        news.release();
    }

    private void broken(Failure failure) {
        if (brokenAt < 0) {
            brokenAt = nowMs();
        }
        if (failure == Failure.CONNECT_REFUSED) {
            client.closeIdleConnections(address);
            lost("nobody listens at its address");
        }
    }

    private void lost(String why) {
        brokenAt = nowMs();
        incarnation = null;
        counters.increment("boxes-lost");
        LOG.info("box {}: lost, {}", id, why);
        listener.onLost(this, why);
    }

    private void news(String type, String data, double askedAt) {
        JsonNode n;
        try {
            n = Documents.MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            counters.increment("box-events-malformed");
            return;
        }
        switch (type) {
            case "hello" -> {
                String process = n.path("incarnation").asText();
                if (incarnation != null && !incarnation.equals(process)) {
                    // its sessions are lost too: they are missing among those held
                    counters.increment("boxes-restarted");
                    client.closeIdleConnections(address);
                }
                incarnation = process;
                brokenAt = -1;
                news.good();
                Set<String> keys = new HashSet<>();
                n.path("held").forEach(key -> keys.add(key.asText()));
                listener.onHeld(this, keys, askedAt);
            }
            case "note" ->
                listener.onNote(
                        this,
                        n.path("session").asText(),
                        n.path("kind").asText(),
                        n.path("value").asDouble());
            case "ended" ->
                listener.onEnded(
                        this,
                        n.path("key").asText(),
                        n.path("reason").asText(),
                        LoadReport.parse(n.path("load").asText("")));
            case "served" ->
                n.path("last")
                        .properties()
                        .forEach(e ->
                                listener.onServed(this, e.getKey(), e.getValue().asText()));
            default -> counters.increment("box-events-unknown");
        }
    }
}
