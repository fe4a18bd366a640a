package calicovale.manager.bus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.host.InvalidValueException;
import calicovale.manager.bus.BusEvent.Lifecycle;
import org.junit.jupiter.api.Test;

/** Values of the key {@code lifecycle} in events of the event bus, which are names of enum constants in lower case. */
class OuterNamesTest {
    private static Lifecycle parseLifecycle(String value) throws InvalidValueException {
        String line = "{\"offset\":1,\"topology\":{\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":\"127.0.0.1:9\","
                + "\"lifecycle\":\"" + value + "\"}]}}";
        return BusEvent.parseLine(line).entries().get(0).lifecycle();
    }

    @Test
    void lifecycle() throws InvalidValueException {
        assertEquals(Lifecycle.IN_SERVICE, parseLifecycle("in_service"));
        assertEquals(Lifecycle.TERMINATING, parseLifecycle("terminating"));
        assertEquals(Lifecycle.TERMINATED, parseLifecycle("terminated"));
        assertEquals(3, Lifecycle.values().length);
    }
}
