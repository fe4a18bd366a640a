package calicovale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class MediaBoxTest {
    private final EventLoop loop = new EventLoop("boxes", Clock.system()).start();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private InetSocketAddress address;

    @TempDir
    private Path folder;

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    private MediaBox startBox(String otherMembers) throws InvalidDocumentException {
        BoxSettings settings = BoxSettings.parse(
                "box",
                "{\"id\":3,\"listen\":{\"host\":\"127.0.0.1\",\"port\":0},\"streams\":4,"
                        + "\"linkKb\":200,\"setUpMs\":1,\"beatMs\":50" + otherMembers + "}");
        MediaBox box = new MediaBox(loop, settings, new Rack(0), new SplittableRandom(1));
        address = loop.call(() -> box.start(false));
        return box;
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
        return client.send(
                HttpRequest.newBuilder(uri)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> setUp(String key, int rung) throws Exception {
        return send(
                "POST",
                "/v1/sessions",
                "{\"key\":\"" + key + "\",\"manager\":\"0.a\",\"title\":\"t\",\"rung\":" + rung
                        + ",\"ladderKb\":[10,20,40],\"leaseMs\":60000}");
    }

    private static String baseUrl(HttpResponse<String> response) {
        return response.body().replaceAll(".*\"base\":\"([^\"]*)\".*", "$1");
    }

    @Test
    void refusesSetUpsBeyondItsLimitsAndReportsItsLoad() throws Exception {
        startBox(",\"fullFrom\":0.5");
        HttpResponse<String> first = setUp("a.0", 2);
        assertEquals(201, first.statusCode());
        assertTrue(
                first.headers().firstValue("endpoint-load-metrics").orElse("").startsWith("TEXT named_metrics.util="));
        assertEquals(409, setUp("a.0", 2).statusCode());
        assertEquals(400, setUp("b.0", 7).statusCode());
        assertEquals(201, setUp("b.0", 2).statusCode());
        assertEquals(201, setUp("c.0", 1).statusCode());
        // from here on the sessions' demand is half of the link or more
        assertEquals(429, setUp("d.0", 0).statusCode());
        assertEquals(204, send("DELETE", "/v1/sessions/a.0", "").statusCode());
        assertEquals(201, setUp("d.0", 0).statusCode());
    }

    @Test
    void sessionUrlsAreValidOnceConfirmedAndForOneProcess() throws Exception {
        MediaBox box = startBox("");
        String base = baseUrl(setUp("a.0", 1));
        assertEquals(410, send("GET", base + "1/0.m4s", "").statusCode());
        assertEquals(
                204, send("PUT", "/v1/sessions/a.0", "{\"confirmed\":true}").statusCode());
        HttpResponse<String> segment = send("GET", base + "1/0.m4s", "");
        assertEquals(200, segment.statusCode());
        assertEquals(40_000, segment.body().length());
        assertEquals(404, send("GET", base + "9/0.m4s", "").statusCode());
        assertEquals(404, send("GET", base + "1/20.m4s", "").statusCode());
        loop.call(() -> {
            box.crash();
            return true;
        });
        assertFalse(loop.call(box::isRunning));
        assertEquals(address, loop.call(() -> box.start(true)));
        assertEquals(410, send("GET", base + "1/0.m4s", "").statusCode());
        assertEquals(
                404, send("PUT", "/v1/sessions/a.0", "{\"confirmed\":true}").statusCode());
        assertNotEquals(base, baseUrl(setUp("a.0", 1)));
    }

    @Test
    void overloadedColdBoxCrashesAndStaysDown() throws Exception {
        MediaBox box = startBox(",\"warmAfterMs\":60000,\"tipMultiple\":1,\"tipMs\":60000");
        loop.call(() -> {
            box.crash();
            return box.start(true);
        });
        assertThrows(java.io.IOException.class, () -> {
            for (int i = 0; i < 6; i++) {
                setUp("a" + i + ".0", 0);
            }
        });
        assertTrue(loop.call(box::crashedByOverload));
        loop.call(() -> box.start(true));
        assertFalse(loop.call(box::isRunning));
    }

    @Test
    void servesContentFolderAndNothingOutsideIt() throws Exception {
        Path title = Files.createDirectories(folder.resolve("content/t"));
        Files.createDirectories(title.resolve("1"));
        Files.writeString(folder.resolve("secret"), "secret");
        Files.writeString(
                title.resolve("1.m3u8"), "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\na.m4s\n#EXT-X-ENDLIST\n");
        Files.writeString(title.resolve("1/a.m4s"), "real content");
        startBox(",\"content\":\"" + folder.resolve("content") + "\"");
        assertTrue(send("GET", "/v1/titles/t/1.m3u8", "").body().contains("a.m4s"));
        assertEquals(404, send("GET", "/v1/titles/none/1.m3u8", "").statusCode());
        String base = baseUrl(setUp("a.0", 1));
        send("PUT", "/v1/sessions/a.0", "{\"confirmed\":true}");
        assertEquals("real content", send("GET", base + "1/a.m4s", "").body());
        assertEquals(404, send("GET", base + "1/..%2f..%2f..%2fsecret", "").statusCode());
    }

    @Test
    void modelExpiresSessionsAndSharesTheLink() throws Exception {
        BoxSettings settings = BoxSettings.parse(
                "box",
                "{\"id\":1,\"listen\":{\"host\":\"127.0.0.1\",\"port\":0},\"streams\":9,"
                        + "\"linkKb\":100,\"idleMs\":1000,\"graceMs\":500}");
        Rack rack = new Rack(50);
        BoxModel model = new BoxModel(settings, rack, 0);
        BoxModel.BoxSession session = new BoxModel.BoxSession("a.0", "m", "token", "t", new double[] {10, 80}, 1);
        session.leaseUntilMs = 100;
        model.add(session);
        assertEquals(0.8, model.linkDemandRatio(), 1e-9);
        assertEquals(50 / 80.0, model.rateShare(), 1e-9, "the uplink limits more than the link");
        rack.setUplinkDivisor(2);
        assertEquals(25 / 80.0, model.rateShare(), 1e-9);
        assertTrue(model.expiredSessions(100).isEmpty());
        assertEquals("lease", model.expiredSessions(101).get(session));
        session.confirmed = true;
        session.lastActivityMs = 100;
        assertTrue(model.expiredSessions(1000).isEmpty());
        assertEquals("idle", model.expiredSessions(1101).get(session));
        session.managerLostMs = 100;
        assertEquals("manager-lost", model.expiredSessions(601).get(session));
        model.setRung(session, 0, 2);
        model.setRung(session, 1, 1);
        assertEquals(0.1, model.linkDemandRatio(), 1e-9, "an older message must not undo a newer one");
        model.remove(session);
        assertEquals(0, rack.demandRatio(), 1e-9);
    }

    @Test
    void servesRangesAndAllowsConfiguredOrigins() throws Exception {
        startBox(",\"origins\":[\"https://page\"]");
        String base = baseUrl(setUp("s.0", 1));
        send("PUT", "/v1/sessions/s.0", "{\"confirmed\":true}");
        URI segment = URI.create("http://127.0.0.1:" + address.getPort() + base + "1/0.m4s");
        HttpResponse<byte[]> part = client.send(
                HttpRequest.newBuilder(segment)
                        .header("Range", "bytes=10-19")
                        .header("Origin", "https://page")
                        .build(),
                HttpResponse.BodyHandlers.ofByteArray());
        assertEquals(206, part.statusCode());
        assertEquals(10, part.body().length);
        assertEquals(
                "bytes 10-19/40000", part.headers().firstValue("Content-Range").orElse(""));
        assertEquals(
                "https://page",
                part.headers().firstValue("Access-Control-Allow-Origin").orElse(""));
        HttpResponse<byte[]> beyond = client.send(
                HttpRequest.newBuilder(segment).header("Range", "bytes=40000-").build(),
                HttpResponse.BodyHandlers.ofByteArray());
        assertEquals(416, beyond.statusCode());
        assertEquals(
                "bytes */40000", beyond.headers().firstValue("Content-Range").orElse(""));
        HttpResponse<byte[]> whole = client.send(
                HttpRequest.newBuilder(segment).header("Range", "bytes=9-2").build(),
                HttpResponse.BodyHandlers.ofByteArray());
        assertEquals(200, whole.statusCode());
        assertEquals(40_000, whole.body().length);
    }
}
