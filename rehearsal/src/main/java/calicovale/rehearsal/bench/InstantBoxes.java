package calicovale.rehearsal.bench;

import calicovale.protocols.http.BodyStream;
import calicovale.protocols.http.EventStream;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.http.HttpServer;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.standin.BoxDirectory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Owns boxes that start every session at once and remember nothing, so that what is measured is the manager. */
final class InstantBoxes implements AutoCloseable {
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final EventLoop directoryLoop;
    private final InetSocketAddress directory;
    private final String source;
    private final String piece;
    private int tokens;

    InstantBoxes(int count, int segments) {
        Clock clock = Clock.system();
        source = source(segments);
        piece = source(3);
        for (int i = 0; i < 2; i++) {
            loops.add(new EventLoop("instant-" + i, clock).start());
        }
        directoryLoop = new EventLoop("directory", clock).start();
        BoxDirectory list = new BoxDirectory(directoryLoop, new InetSocketAddress("127.0.0.1", 0), 0, 500);
        for (int i = 0; i < count; i++) {
            EventLoop loop = loops.get(i % loops.size());
            HttpServer server = new HttpServer(loop, "box:" + i, HttpLimits.DEFAULT, x -> handle(x, loop));
            InetSocketAddress at = loop.call(() -> server.listen(new InetSocketAddress("127.0.0.1", 0)));
            addresses.add(at);
            int id = i;
            directoryLoop.call(() -> {
                list.listNow(new BoxDirectory.Entry(id, "ready", 0, 0, 0, 0, 1, "127.0.0.1:" + at.getPort()));
                return true;
            });
        }
        directory = directoryLoop.call(list::start);
    }

    private static String source(int segments) {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments; i++) {
            text.append("#EXTINF:4.0,\n").append(i).append(".m4s\n");
        }
        return text + "#EXT-X-ENDLIST\n";
    }

    InetSocketAddress directory() {
        return directory;
    }

    private void handle(Exchange x, EventLoop loop) {
        String path = x.head().path();
        switch (x.head().method()) {
            case "POST" ->
                x.respond(
                        201,
                        new Headers().add("endpoint-load-metrics", "TEXT named_metrics.util=0.2"),
                        ("{\"base\":\"/s/1-1-abc." + ++tokens + "/\"}").getBytes(StandardCharsets.UTF_8));
            case "PUT", "DELETE" -> x.respond(204);
            default -> {
                if (path.equals("/v1/events")) {
                    BodyStream out = x.stream(200, new Headers().add("Content-Type", "text/event-stream"));
                    // no hello: these boxes know of no sessions and must not deny any
                    beat(loop, out);
                } else {
                    x.respond(200, "application/vnd.apple.mpegurl", path.contains("/piece/") ? piece : source);
                }
            }
        }
    }

    private void beat(EventLoop loop, BodyStream out) {
        loop.schedule(500, () -> {
            if (out.write(EventStream.keepAliveComment())) {
                beat(loop, out);
            }
        });
    }

    @Override
    public void close() {
        loops.forEach(EventLoop::close);
        directoryLoop.close();
    }
}
