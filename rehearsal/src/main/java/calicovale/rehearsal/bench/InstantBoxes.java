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

/**
 * Boxes that start every session at once and keep no state, together with their directory. They cost so little that a
 * benchmark with them measures the manager.
 */
final class InstantBoxes implements AutoCloseable {
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final EventLoop directoryLoop;
    private final InetSocketAddress directoryAddress;
    private final String lecturePlaylist;
    private final String piecePlaylist;
    private int lastSessionNumber;

    /**
     * Starts boxes and a directory that lists them.
     *
     * @param segments number of segments of each lecture
     */
    InstantBoxes(int count, int segments) {
        Clock clock = Clock.system();
        lecturePlaylist = vodPlaylist(segments);
        piecePlaylist = vodPlaylist(3);
        for (int i = 0; i < 2; i++) {
            loops.add(new EventLoop("instant-" + i, clock).start());
        }
        directoryLoop = new EventLoop("directory", clock).start();
        BoxDirectory directory = new BoxDirectory(directoryLoop, new InetSocketAddress("127.0.0.1", 0), 0, 500);
        for (int i = 0; i < count; i++) {
            EventLoop loop = loops.get(i % loops.size());
            HttpServer server = new HttpServer(loop, "box:" + i, HttpLimits.DEFAULT, x -> handle(x, loop));
            InetSocketAddress address = loop.call(() -> server.listen(new InetSocketAddress("127.0.0.1", 0)));
            addresses.add(address);
            int id = i;
            directoryLoop.call(() -> {
                directory.listNow(new BoxDirectory.Entry(id, "ready", 0, 0, 0, 0, 1, "127.0.0.1:" + address.getPort()));
                return true;
            });
        }
        directoryAddress = directoryLoop.call(directory::start);
    }

    private static String vodPlaylist(int segments) {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-MAP:URI=\"init.mp4\"\n");
        for (int i = 0; i < segments; i++) {
            text.append("#EXTINF:4.0,\n").append(i).append(".m4s\n");
        }
        return text + "#EXT-X-ENDLIST\n";
    }

    /** Returns the address of the directory. */
    InetSocketAddress directoryAddress() {
        return directoryAddress;
    }

    private void handle(Exchange exchange, EventLoop loop) {
        String path = exchange.head().path();
        switch (exchange.head().method()) {
            case "POST" ->
                exchange.respond(
                        201,
                        new Headers().add("endpoint-load-metrics", "TEXT named_metrics.util=0.2"),
                        ("{\"base\":\"/s/1-1-abc." + ++lastSessionNumber + "/\"}").getBytes(StandardCharsets.UTF_8));
            case "PUT", "DELETE" -> exchange.respond(204);
            default -> {
                if (path.equals("/v1/events")) {
                    BodyStream stream = exchange.stream(200, new Headers().add("Content-Type", "text/event-stream"));
                    // no hello event, because these boxes keep no list of sessions, and the manager counts each session
                    // that a hello does not list as lost
                    scheduleKeepAlive(loop, stream);
                } else {
                    exchange.respond(
                            200,
                            "application/vnd.apple.mpegurl",
                            path.contains("/piece/") ? piecePlaylist : lecturePlaylist);
                }
            }
        }
    }

    private void scheduleKeepAlive(EventLoop loop, BodyStream stream) {
        loop.schedule(500, () -> {
            if (stream.write(EventStream.keepAliveComment())) {
                scheduleKeepAlive(loop, stream);
            }
        });
    }

    @Override
    public void close() {
        loops.forEach(EventLoop::close);
        directoryLoop.close();
    }
}
