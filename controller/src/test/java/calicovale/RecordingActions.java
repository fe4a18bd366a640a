package calicovale;

import calicovale.ControllerApi.Actions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records a controller's actions as lines of text, newest last, with the last server and rung of each request. */
final class RecordingActions implements Actions {
    final List<String> lines = new ArrayList<>();
    final Map<String, Long> lastServer = new HashMap<>();
    final Map<String, Integer> lastRung = new HashMap<>();

    @Override
    public void attempt(String id, long server, double timeoutMs) {
        lastServer.put(id, server);
        lines.add("attempt " + id + " " + server);
    }

    @Override
    public void cancel(String id, int attempt) {
        lines.add("cancel " + id + " " + attempt);
    }

    @Override
    public void rung(String id, int rung) {
        lastRung.put(id, rung);
        lines.add("rung " + id + " " + rung);
    }

    @Override
    public void move(String id) {
        lines.add("move " + id);
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        lines.add("refuse " + id + " " + Math.round(retryAfterMs));
    }

    @Override
    public void fail(String id) {
        lines.add("fail " + id);
    }

    @Override
    public void probe(long server) {
        lines.add("probe " + server);
    }

    @Override
    public void tellPeers(byte[] body) {
        lines.add("tell " + body.length);
    }

    @Override
    public void subscribe() {
        lines.add("subscribe");
    }

    @Override
    public void timer(double delayMs, String name) {
        lines.add("timer " + name);
    }

    @Override
    public void log(String text) {
        lines.add("log " + text);
    }

    /** Returns the number of actions of this kind for this request. */
    long count(String kind, String id) {
        return lines.stream()
                .filter(line -> line.equals(kind + " " + id) || line.startsWith(kind + " " + id + " "))
                .count();
    }

    /** Returns the number of actions of this kind. */
    long count(String kind) {
        return lines.stream().filter(line -> line.startsWith(kind + " ")).count();
    }

    boolean wasAttempted(String id) {
        return count("attempt", id) > 0;
    }

    boolean wasRefused(String id) {
        return count("refuse", id) > 0;
    }
}
