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
 * A stand-in box directory on an event loop. It streams a list of boxes, which lags behind their changes, to all
 * clients, and serves the clock that managers share. All methods must be called on the loop.
 */
public final class BoxDirectory {

    /** One box in the list. {@code startedMs} is the time of its last start, in ms. */
    public record Entry(
            long id, String state, int kind, int zone, int cell, double startedMs, double weight, String address) {}

    private static final String SERVER_NAME = "directory";
    private final EventLoop loop;
    private final double beatMs;
    private final TreeMap<Long, Entry> listedBoxes = new TreeMap<>();
    private final Set<BodyStream> streams = new LinkedHashSet<>();
    private HttpServer server;
    private InetSocketAddress address;
    private double lagMs;
    private double lastListingMs;
    private long version;

    /**
     * Creates a directory that is down until {@link #start}.
     *
     * @param lagMs delay after which a change of a box is listed, in ms
     * @param beatMs interval between keep-alive comments on event streams, in ms
     */
    public BoxDirectory(EventLoop loop, InetSocketAddress address, double lagMs, double beatMs) {
        this.loop = loop;
        this.address = address;
        this.lagMs = lagMs;
        this.beatMs = beatMs;
    }

    /** Starts listening, on the same port as before after an outage. Returns the address. */
    public InetSocketAddress start() throws IOException {
        server = new HttpServer(loop, SERVER_NAME, HttpLimits.DEFAULT, this::handle);
        address = server.listen(address);
        scheduleKeepAlive(server);
        return address;
    }

    /** Injects an outage: stops listening and resets all connections. The list continues to be updated. */
    public void stop() {
        if (server != null) {
            server.stopListening();
            server = null;
            streams.clear();
            loop.resetAll(SERVER_NAME);
        }
    }

    /** Sets the delay of the list, in ms. Changes that are already waiting stay in order. */
    public void setLagMs(double newLagMs) {
        lagMs = newLagMs;
    }

    /** Lists a change of a box after the delay. */
    public void listAfterLag(Entry entry) {
        double dueMs = Math.max(lastListingMs, loop.clock().millis() + lagMs);
        lastListingMs = dueMs;
        loop.schedule(dueMs - loop.clock().millis(), () -> listNow(entry));
    }

    /** Lists a box at once and sends it to all clients. */
    public void listNow(Entry entry) {
        listedBoxes.put(entry.id(), entry);
        version++;
        String data = toJson(List.of(entry));
        for (BodyStream stream : new ArrayList<>(streams)) {
            stream.write(EventStream.event("change", data));
        }
    }

    /** Injects a fault: removes a box and sends the full list without it, as if the directory had lost its entry. */
    public void removeFromList(long boxId) {
        listedBoxes.remove(boxId);
        version++;
        String data = toJson(listedBoxes.values());
        for (BodyStream stream : new ArrayList<>(streams)) {
            stream.write(EventStream.event("full", data));
        }
    }

    private void scheduleKeepAlive(HttpServer startedServer) {
        loop.schedule(beatMs, () -> {
            if (server == startedServer) {
                new ArrayList<>(streams).forEach(out -> out.write(EventStream.keepAliveComment()));
                scheduleKeepAlive(startedServer);
            }
        });
    }

    private void handle(Exchange exchange) {
        if (!exchange.head().method().equals("GET")) {
            exchange.problem(405, new Headers().add("Allow", "GET"), "Method Not Allowed", null, "");
            return;
        }
        switch (exchange.head().path()) {
            case "/v1/clock" ->
                exchange.respond(
                        200, "application/json", "{\"nowMs\":" + loop.clock().millis() + "}");
            case "/v1/boxes" -> {
                BodyStream stream = exchange.stream(200, new Headers().add("Content-Type", "text/event-stream"));
                stream.write(EventStream.event("full", toJson(listedBoxes.values())));
                streams.add(stream);
                exchange.onClientClosed(() -> streams.remove(stream));
            }
            default -> exchange.problem(404, "Not Found", "no such resource");
        }
    }

    private String toJson(Iterable<Entry> entries) {
        ObjectNode message = Documents.MAPPER.createObjectNode().put("version", version);
        ArrayNode boxes = message.putArray("boxes");
        for (Entry entry : entries) {
            boxes.addObject()
                    .put("id", entry.id())
                    .put("state", entry.state())
                    .put("kind", entry.kind())
                    .put("zone", entry.zone())
                    .put("cell", entry.cell())
                    .put("startedMs", entry.startedMs())
                    .put("weight", entry.weight())
                    .put("address", entry.address());
        }
        return message.toString();
    }
}
