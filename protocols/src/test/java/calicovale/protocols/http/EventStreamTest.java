package calicovale.protocols.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventStreamTest {

    private static List<String> read(byte[] bytes, int step) throws HttpException {
        List<String> events = new ArrayList<>();
        EventStream stream = new EventStream(1000, (type, data) -> events.add(type + "=" + data));
        for (int start = 0; start < bytes.length; start += step) {
            stream.parse(ByteBuffer.wrap(bytes, start, Math.min(step, bytes.length - start)));
        }
        return events;
    }

    @Property(tries = 300, seed = "1")
    void parsesWrittenEventsForAnySplit(
            @ForAll List<@AlphaChars String> data, @ForAll @IntRange(min = 1, max = 9) int step) throws HttpException {
        StringBuilder text = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < data.size(); i++) {
            String twoLines = data.get(i) + "\n" + i;
            text.append(new String(EventStream.event("t" + i, twoLines), StandardCharsets.UTF_8))
                    .append(new String(EventStream.keepAliveComment(), StandardCharsets.UTF_8));
            expected.add("t" + i + "=" + twoLines);
        }
        assertEquals(expected, read(text.toString().getBytes(StandardCharsets.UTF_8), step));
    }

    @Test
    void acceptsAllLineEndsAndTheDefaultType() throws HttpException {
        assertEquals(
                List.of("message=a", "x=b\nc"),
                read("data: a\r\n\r\nevent:x\rdata:b\rdata: c\r\r".getBytes(StandardCharsets.UTF_8), 1));
    }

    @Test
    void limitsTheSizeOfAnEvent() {
        assertThrows(
                HttpException.class,
                () -> read(("data: " + "a".repeat(1000) + "\n\n").getBytes(StandardCharsets.UTF_8), 50));
        assertThrows(
                HttpException.class,
                () -> read("data: aaaaaaaaaaaaaaaaaaaa\n".repeat(60).getBytes(StandardCharsets.UTF_8), 50));
    }
}
