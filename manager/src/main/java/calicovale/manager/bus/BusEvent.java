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
 * One event of the event bus: a change of the list of video servers, or the whole list.
 *
 * @param offset its number
 * @param generation the list's version
 * @param whole whether it holds the whole list
 * @param entries what it holds
 */
public record BusEvent(long offset, long generation, boolean whole, List<Entry> entries) {

    /** A video server's state. */
    public enum Lifecycle {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * One video server.
     *
     * @param startedAtMs when it started, where that was late; else 0
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

    /** Reads one from its line; null: the line holds the last number alone. */
    public static BusEvent readLine(String line) throws InvalidValueException {
        try {
            JsonNode node = Documents.MAPPER.readTree(line);
            return node.has("topology") ? read(node) : null;
        } catch (JsonProcessingException e) {
            throw new InvalidValueException("an event that is no JSON: " + e.getOriginalMessage());
        }
    }

    /** The number that a line holds, whatever else it has. */
    static long number(String line) throws InvalidValueException {
        try {
            JsonNode node = Documents.MAPPER.readTree(line);
            JsonNode offset = node.isObject() ? node.path("offset") : node;
            if (offset.canConvertToLong()) {
                return offset.asLong();
            }
        } catch (JsonProcessingException e) {
            // told below
        }
        throw new InvalidValueException("a line without a number");
    }

    /** Reads one. */
    public static BusEvent read(JsonNode node) throws InvalidValueException {
        JsonNode topology = node.path("topology");
        JsonNode list = topology.path("instances");
        if (!node.path("offset").canConvertToLong() || !list.isArray()) {
            throw new InvalidValueException("an event without 'offset' or 'topology.instances'");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode entry : list) {
            entries.add(entry(entry));
        }
        return new BusEvent(
                node.path("offset").asLong(),
                topology.path("generation").asLong(),
                topology.path("reset").asBoolean(),
                List.copyOf(entries));
    }

    private static Entry entry(JsonNode node) throws InvalidValueException {
        String id = node.path("instanceId").asText("");
        if (id.isEmpty()) {
            throw new InvalidValueException("an instance without 'instanceId'");
        }
        Lifecycle lifecycle;
        try {
            lifecycle = Lifecycle.valueOf(node.path("lifecycle").asText("").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidValueException("instance " + id + ": 'lifecycle' is " + node.path("lifecycle"));
        }
        String at = node.path("hostPort").asText("");
        if (at.isEmpty() && lifecycle != Lifecycle.TERMINATED) {
            throw new InvalidValueException("instance " + id + ": no 'hostPort'");
        }
        return new Entry(
                id,
                at.isEmpty() ? null : Addresses.read(at),
                node.path("zone").asText(""),
                node.path("machineType").asText(""),
                Math.max(0, node.path("cell").asInt()),
                lifecycle,
                node.path("weight").asDouble(1),
                node.path("startedAtMs").asDouble());
    }
}
