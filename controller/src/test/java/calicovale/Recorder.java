package calicovale;

import calicovale.ControllerApi.Actions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records a controller's actions as text, newest last. */
final class Recorder implements Actions {
    final List<String> lines = new ArrayList<>();
    final Map<String, Long> server = new HashMap<>();
    final Map<String, Integer> rung = new HashMap<>();

    @Override
    public void attempt(String id, long at, double timeoutMs) {
        server.put(id, at);
        lines.add("attempt " + id + " " + at);
    }

    @Override
    public void cancel(String id, int attempt) {
        lines.add("cancel " + id + " " + attempt);
    }

    @Override
    public void rung(String id, int to) {
        rung.put(id, to);
        lines.add("rung " + id + " " + to);
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
    public void probe(long at) {
        lines.add("probe " + at);
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

    /** How many actions of this kind named this session. */
    long count(String kind, String id) {
        return lines.stream()
                .filter(l -> l.equals(kind + " " + id) || l.startsWith(kind + " " + id + " "))
                .count();
    }

    /** How many actions of this kind there were. */
    long count(String kind) {
        return lines.stream().filter(l -> l.startsWith(kind + " ")).count();
    }

    boolean sent(String id) {
        return count("attempt", id) > 0;
    }

    boolean refused(String id) {
        return count("refuse", id) > 0;
    }
}
