package calicovale.manager.bus;

import calicovale.host.InvalidValueException;
import calicovale.protocols.json.Documents;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One event of the event bus: changes of the list of video servers, or the complete list.
 *
 * @param offset number of the event on the bus
 * @param generation version of the list
 * @param complete whether the event holds the complete list
 * @param entries changed servers, or all servers
 */
public record BusEvent(long offset, long generation, boolean complete, List<Entry> entries) {

    /** The state of a video server, as the bus names it in lower case. */
    public enum Lifecycle {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * One video server.
     *
     * @param id name of the server
     * @param address address for links to it; null: none, which is accepted only of a terminated server
     * @param zone name of its zone; empty: not stated
     * @param kind kind of server, one of the {@code kinds} in the settings
     * @param cell number of its cell, from 0
     * @param lifecycle its state
     * @param weight size in relation to other servers
     * @param startedAtMs clock time of its start, in ms, if it started recently; else 0
     */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Lifecycle lifecycle,
            double weight,
            double startedAtMs) {}

    /** Parses a line. Returns null if it is not an event, such as a line that holds only the last offset. */
    public static BusEvent parseLine(String line) throws InvalidValueException {
        try {
            JsonNode node = Documents.MAPPER.readTree(line);
            return node.has("topology") ? parse(node) : null;
        } catch (JsonProcessingException e) {
            throw new InvalidValueException("event is not JSON: " + Documents.notJsonReason(e));
        }
    }

    /** Parses the offset in a line: a number, or the field {@code offset} of an object. */
    static long parseOffset(String line) throws InvalidValueException {
        try {
            JsonNode node = Documents.MAPPER.readTree(line);
            JsonNode offset = node.isObject() ? node.path("offset") : node;
            if (offset.canConvertToLong()) {
                return offset.asLong();
            }
        } catch (JsonProcessingException e) {
            // reported below
        }
        throw new InvalidValueException("line has neither a number nor a numeric 'offset'");
    }

    /** Parses an event. Throws {@link InvalidValueException} if a field is missing or invalid. */
    public static BusEvent parse(JsonNode node) throws InvalidValueException {
        JsonNode topology = node.path("topology");
        JsonNode list = topology.path("instances");
        if (!node.path("offset").canConvertToLong() || !list.isArray()) {
            throw new InvalidValueException("event needs a numeric 'offset' and a list 'topology.instances'");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode entry : list) {
            entries.add(parseEntry(entry));
        }
        return new BusEvent(
                node.path("offset").asLong(),
                topology.path("generation").asLong(),
                topology.path("reset").asBoolean(),
                List.copyOf(entries));
    }

    private static Entry parseEntry(JsonNode node) throws InvalidValueException {
        String id = node.path("instanceId").asText("");
        if (id.isEmpty()) {
            throw new InvalidValueException("instance has no 'instanceId'");
        }
        Lifecycle lifecycle;
        try {
            lifecycle = Lifecycle.valueOf(node.path("lifecycle").asText("").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidValueException("instance " + id
                    + ": 'lifecycle' must be in_service, terminating or terminated, not " + node.path("lifecycle"));
        }
        String hostPort = node.path("hostPort").asText("");
        if (hostPort.isEmpty() && lifecycle != Lifecycle.TERMINATED) {
            throw new InvalidValueException("instance " + id + ": 'hostPort' is missing");
        }
        return new Entry(
                id,
                hostPort.isEmpty() ? null : Addresses.parse(hostPort),
                node.path("zone").asText(""),
                node.path("machineType").asText(""),
                Math.max(0, node.path("cell").asInt()),
                lifecycle,
                node.path("weight").asDouble(1),
                node.path("startedAtMs").asDouble());
    }
}
