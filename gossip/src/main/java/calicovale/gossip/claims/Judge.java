package calicovale.gossip.claims;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Owns what this member makes of all statements: an evidence from 0 to 1 for each box. Below a quorum of members nothing is
 * believed; each has one voice, however often it speaks and under however many boxes it divides it; what worked here of late
 * outranks all of them; and a member whose claims are contradicted by what is seen here has less of a voice until that is past.
 */
public final class Judge {
    /** What is left of a voice after a claim of its was contradicted: three liars in four are silent after two. */
    private static final double CONTRADICTED = 0.5;
    /** Set-ups that worked, none failing between, that contradict a claim: one may be luck at a box that fails half of them. */
    private static final int WORKED = 2;
    /** Ms between two contradictions of one member's claims on one box: set-ups are many, a claim is one. */
    private static final double AGAIN_MS = 2000;
    /** Voice regained in a second: a whole one in a minute or so. */
    private static final double REGAIN = 0.015;
    /** Least voice, so that one who was wrong is still heard of when it is right among others. */
    private static final double LEAST = 0.05;
    /** Part of a claim's time from which on it fades, so that all who believe it do not come back in one moment. */
    private static final double FADES = 0.5;
    /** Part of the quorum down to which what is believed stays so: else fewer trials, hence fewer claims, would end it at once. */
    private static final double HOLDS = 0.5;
    /**
     * Ms in which half of an evidence is forgotten once its claims are: those who failed together fall silent together, and if
     * all came back with them, all would fail together again.
     */
    private static final double FORGETS_MS = 3000;
    /** Evidence that is none any more. */
    private static final double NEGLIGIBLE = 0.05;

    private static final class Own {
        double goodMs = Double.NEGATIVE_INFINITY;
        double badMs = Double.NEGATIVE_INFINITY;
        int worked;
    }

    private static final class Voice {
        double weight = 1;
        double atMs;
        final Map<Long, Double> contradictedMs = new HashMap<>();
    }

    private final ClaimSettings settings;
    private final String self;
    private final int boxesMost;
    private final Map<Long, Own> own = new LinkedHashMap<>();
    private final Map<String, Voice> voices = new HashMap<>();
    private final Set<Long> believed = new HashSet<>();
    private final Map<Long, Double> remembered = new TreeMap<>();
    private double rememberedMs;
    private long contradictions;

    /** The judge of one member. */
    public Judge(ClaimSettings settings, String self, int boxesMost) {
        this.settings = settings;
        this.self = self;
        this.boxesMost = boxesMost;
    }

    /** Claims of others that what was seen here contradicted. */
    public long contradictions() {
        return contradictions;
    }

    /** A member's voice now, from 0 to 1. */
    public double voice(String member, double nowMs) {
        Voice v = voices.get(member);
        return v == null ? 1 : weight(v, nowMs);
    }

    private static double weight(Voice v, double nowMs) {
        v.weight = Math.min(1, v.weight + REGAIN * (nowMs - v.atMs) / 1000);
        v.atMs = nowMs;
        return v.weight;
    }

    /** This member saw a set-up work or fail; what it worked against among the statements loses weight. */
    public void saw(double nowMs, long box, boolean good, Collection<ClaimBook.Held> held) {
        if (!own.containsKey(box) && own.size() >= boxesMost) {
            own.remove(own.keySet().iterator().next());
        }
        Own o = own.computeIfAbsent(box, b -> new Own());
        if (!good) {
            o.badMs = nowMs;
            o.worked = 0;
            return;
        }
        o.goodMs = nowMs;
        if (++o.worked < WORKED) {
            return;
        }
        for (ClaimBook.Held h : held) {
            String from = h.statement().from();
            if (from.equals(self)) {
                continue;
            }
            for (Claim c : h.statement().claims()) {
                double age = nowMs - h.atMs();
                if (c.box() == box && age < c.lastsMs()) {
                    contradict(from, box, nowMs);
                }
            }
        }
    }

    /** Lets what was believed fade, and adds what is left of it. */
    private void remember(double nowMs, Map<Long, Double> present) {
        double left = Math.pow(0.5, (nowMs - rememberedMs) / FORGETS_MS);
        rememberedMs = nowMs;
        remembered.replaceAll((box, strength) -> strength * left);
        remembered.keySet().removeIf(box -> {
            Own o = own.get(box);
            return remembered.get(box) < NEGLIGIBLE
                    || o != null && o.goodMs > o.badMs && nowMs - o.goodMs < settings.ownMs();
        });
        present.forEach((box, strength) -> remembered.merge(box, strength, Math::max));
        present.putAll(remembered);
    }

    private void contradict(String from, long box, double nowMs) {
        if (!voices.containsKey(from) && voices.size() >= settings.membersMost()) {
            return;
        }
        Voice v = voices.computeIfAbsent(from, f -> new Voice());
        if (nowMs - v.contradictedMs.getOrDefault(box, Double.NEGATIVE_INFINITY) < AGAIN_MS) {
            return;
        }
        v.contradictedMs.values().removeIf(at -> nowMs - at >= AGAIN_MS);
        v.contradictedMs.put(box, nowMs);
        v.weight = Math.max(LEAST, weight(v, nowMs) * CONTRADICTED);
        contradictions++;
    }

    /** The evidence against each box of which there is any, in a group of so many present members. */
    public Map<Long, Double> evidence(double nowMs, int present, Collection<ClaimBook.Held> held) {
        Map<Long, double[]> votes = new TreeMap<>();
        for (ClaimBook.Held h : held) {
            String from = h.statement().from();
            double age = nowMs - h.atMs();
            double weight = from.equals(self) ? 1 : voice(from, nowMs);
            long boxes = h.statement().claims().stream()
                    .filter(c -> age < c.lastsMs())
                    .count();
            for (Claim c : h.statement().claims()) {
                if (age >= c.lastsMs()) {
                    continue;
                }
                double fresh = Math.min(1, (c.lastsMs() - age) / ((1 - FADES) * c.lastsMs()));
                double[] of = votes.computeIfAbsent(c.box(), b -> new double[2]);
                of[0] += weight;
                of[1] += weight * c.strength() * fresh / boxes;
            }
        }
        int quorum = settings.quorum(present);
        believed.retainAll(votes.keySet());
        Map<Long, Double> result = new TreeMap<>();
        votes.forEach((box, of) -> {
            Own o = own.get(box);
            boolean works = o != null && o.goodMs > o.badMs && nowMs - o.goodMs < settings.ownMs();
            if (of[0] < (believed.contains(box) ? HOLDS * quorum : quorum) - 1e-9) {
                believed.remove(box);
                return;
            }
            believed.add(box);
            if (!works) {
                result.put(box, Math.min(1, of[1] / quorum));
            }
        });
        remember(nowMs, result);
        return result;
    }
}
