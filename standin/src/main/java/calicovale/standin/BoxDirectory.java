package calicovale.standin;

import calicovale.protocols.http.BodyStream;
import calicovale.protocols.http.EventStream;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.http.HttpServer;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Owns a stand-in box directory on a loop: a list that lags behind what happens, pushed to all that listen, and the clock
 * that managers share. All calls are made on the loop.
 */
public final class BoxDirectory {

    /** One box as it is listed. */
    public record Entry(
            long id, String state, int kind, int zone, int cell, double startedMs, double weight, String address) {}

    private static final String NAME = "directory";
    private final EventLoop loop;
    private final double beatMs;
    private final TreeMap<Long, Entry> visible = new TreeMap<>();
    private final Set<BodyStream> streams = new LinkedHashSet<>();
    private HttpServer server;
    private InetSocketAddress address;
    private double lagMs;
    private double lastDueMs;
    private long version;

    /** A directory whose list lags by {@code lagMs}. */
    public BoxDirectory(EventLoop loop, InetSocketAddress address, double lagMs, double beatMs) {
        this.loop = loop;
        this.address = address;
        this.lagMs = lagMs;
        this.beatMs = beatMs;
    }

    /** Listens; on the same port after an outage. */
    public InetSocketAddress start() throws IOException {
        server = new HttpServer(loop, NAME, HttpLimits.DEFAULT, this::handle);
        address = server.listen(address);
        beat(server);
        return address;
    }

    /** An outage: nobody listens, all connections are reset; the list goes on. */
    public void stop() {
        if (server != null) {
            server.stopListening();
            server = null;
            streams.clear();
            loop.resetAll(NAME);
        }
    }

    /** The list runs so much behind from now on; what was on its way stays in order. */
    public void lag(double ms) {
        lagMs = ms;
    }

    /** Something happened to a box; it is listed after the lag. */
    public void happened(Entry entry) {
        double due = Math.max(lastDueMs, loop.clock().millis() + lagMs);
        lastDueMs = due;
        loop.schedule(due - loop.clock().millis(), () -> list(entry));
    }

    /** Lists a box at once. */
    public void list(Entry entry) {
        visible.put(entry.id(), entry);
        version++;
        String data = json(List.of(entry));
        for (BodyStream out : new ArrayList<>(streams)) {
            out.write(EventStream.event("change", data));
        }
    }

    /** A fault: a full list without a box, as after a directory's own loss. */
    public void forget(long box) {
        visible.remove(box);
        version++;
        String data = json(visible.values());
        for (BodyStream out : new ArrayList<>(streams)) {
            out.write(EventStream.event("full", data));
        }
    }

    private void beat(HttpServer of) {
        loop.schedule(beatMs, () -> {
            if (server == of) {
                new ArrayList<>(streams).forEach(out -> out.write(EventStream.keepAliveComment()));
                beat(of);
            }
        });
    }

    private void handle(Exchange x) {
        if (!x.head().method().equals("GET")) {
            x.problem(405, new Headers().add("Allow", "GET"), "Method Not Allowed", null, "");
            return;
        }
        switch (x.head().path()) {
            case "/v1/clock" ->
                x.respond(200, "application/json", "{\"nowMs\":" + loop.clock().millis() + "}");
            case "/v1/boxes" -> {
                BodyStream out = x.stream(200, new Headers().add("Content-Type", "text/event-stream"));
                out.write(EventStream.event("full", json(visible.values())));
                streams.add(out);
                x.onPeerClosed(() -> streams.remove(out));
            }
            default -> x.problem(404, "Not Found", "no such resource");
        }
    }

    private String json(Iterable<Entry> entries) {
        ObjectNode n = Documents.MAPPER.createObjectNode().put("version", version);
        ArrayNode boxes = n.putArray("boxes");
        for (Entry e : entries) {
            boxes.addObject()
                    .put("id", e.id())
                    .put("state", e.state())
                    .put("kind", e.kind())
                    .put("zone", e.zone())
                    .put("cell", e.cell())
                    .put("startedMs", e.startedMs())
                    .put("weight", e.weight())
                    .put("address", e.address());
        }
        return n.toString();
    }
}
