package calicovale.gossip.claims;

import calicovale.gossip.claims.Claim.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Owns what this member saw of boxes itself of late, and makes its claims of it. Times are ms of one clock. */
public final class Outcomes {
    /** Outcomes remembered of one box: enough for a strength in steps of a few per cent. */
    private static final int MOST_OF_BOX = 64;

    private record Outcome(double atMs, Kind kind) {}

    private final ClaimSettings settings;
    private final int boxesMost;
    private final Map<Long, ArrayDeque<Outcome>> boxes = new LinkedHashMap<>();
    private long overBound;

    /** Sees at most so many boxes at once. */
    public Outcomes(ClaimSettings settings, int boxesMost) {
        this.settings = settings;
        this.boxesMost = boxesMost;
    }

    /** Takes an outcome; {@code kind} null: all was well. */
    public void saw(double nowMs, long box, Kind kind) {
        ArrayDeque<Outcome> of = boxes.get(box);
        if (of == null) {
            if (boxes.size() >= boxesMost) {
                overBound++;
                return;
            }
            of = new ArrayDeque<>();
            boxes.put(box, of);
        }
        if (of.size() >= MOST_OF_BOX) {
            of.removeFirst();
        }
        of.addLast(new Outcome(nowMs, kind));
    }

    /** Outcomes not taken because too many boxes are known. */
    public long overBound() {
        return overBound;
    }

    /** The claims that hold now, the strongest first. */
    public List<Claim> claims(double nowMs) {
        List<Claim> result = new ArrayList<>();
        for (Iterator<Map.Entry<Long, ArrayDeque<Outcome>>> i = boxes.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, ArrayDeque<Outcome>> e = i.next();
            ArrayDeque<Outcome> of = e.getValue();
            while (!of.isEmpty() && nowMs - of.peekFirst().atMs() > settings.seenMs()) {
                of.removeFirst();
            }
            if (of.isEmpty()) {
                i.remove();
                continue;
            }
            Claim claim = claim(nowMs, e.getKey(), of);
            if (claim != null) {
                result.add(claim);
            }
        }
        result.sort(
                Comparator.comparingDouble((Claim claim) -> -claim.strength()).thenComparingLong(Claim::box));
        return List.copyOf(result.subList(0, Math.min(settings.claimsMost(), result.size())));
    }

    private Claim claim(double nowMs, long box, ArrayDeque<Outcome> of) {
        int[] kinds = new int[Kind.values().length];
        int bad = 0;
        Outcome last = null;
        for (Outcome o : of) {
            if (o.kind() != null) {
                kinds[o.kind().ordinal()]++;
                bad++;
                last = o;
            }
        }
        double strength = bad / (double) of.size();
        // what worked since it last failed is no suspicion any more
        if (last == null || strength < settings.leastStrength() || of.peekLast().kind() == null) {
            return null;
        }
        int most = 0;
        for (int k = 1; k < kinds.length; k++) {
            most = kinds[k] > kinds[most] ? k : most;
        }
        return new Claim(box, Kind.values()[most], strength, nowMs - last.atMs(), settings.lastsMs());
    }
}
