package calicovale.gossip.claims;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Owns the newest statement of each member, this one included, and what of them is still to be spread. A statement counts once
 * its proof was checked; a relay can neither change it nor say it anew.
 */
public final class ClaimBook {

    /** A statement and when it came, in ms of the clock here. */
    public record Held(Statement statement, double atMs) {}

    private final ClaimSettings settings;
    private final String self;
    private final ClaimProofs proofs;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Map<String, Integer> spread = new LinkedHashMap<>();
    private long refused;

    /** The book of one member. */
    public ClaimBook(ClaimSettings settings, String self, ClaimProofs proofs) {
        this.settings = settings;
        this.self = self;
        this.proofs = proofs;
    }

    /** Statements that were not taken: unproved, from another time, or too long. */
    public long refused() {
        return refused;
    }

    /** All statements held. */
    public Collection<Held> held() {
        return List.copyOf(held.values());
    }

    /**
     * Says what this member claims now: a new statement if something changed, or if the last is to be said again.
     *
     * @param wallMs the wall clock, of which the statement's number is made
     */
    public void say(double nowMs, double wallMs, List<Claim> claims) {
        Held last = held.get(self);
        List<Claim> before = last == null ? List.of() : last.statement().claims();
        if (claims.isEmpty() && before.isEmpty()) {
            return;
        }
        if (same(before, claims) && nowMs - last.atMs() < settings.refreshMs()) {
            return;
        }
        long number =
                Math.max((long) wallMs, last == null ? 0 : last.statement().number() + 1);
        Statement said = new Statement(self, number, List.copyOf(claims), new byte[0]);
        said = new Statement(self, number, said.claims(), proofs.prove(said));
        held.put(self, new Held(said, nowMs));
        spread.put(self, 0);
    }

    /** Whether they say the same of the same boxes, whatever their ages and small changes of strength. */
    private static boolean same(List<Claim> a, List<Claim> b) {
        if (a.size() != b.size()) {
            return false;
        }
        for (Claim claim : a) {
            if (b.stream()
                    .noneMatch(other -> other.box() == claim.box()
                            && Objects.equals(other.kind(), claim.kind())
                            && Math.abs(other.strength() - claim.strength()) < 0.25)) {
                return false;
            }
        }
        return true;
    }

    /** Takes a statement, whoever brought it; false if it was known or is not to be believed. */
    public boolean take(double nowMs, double wallMs, Statement s) {
        Held before = held.get(s.from());
        if (s.from().equals(self)
                || before != null && s.number() <= before.statement().number()) {
            return false;
        }
        boolean twice = s.claims().stream().map(Claim::box).distinct().count()
                < s.claims().size();
        if (Math.abs(s.number() - wallMs) > settings.windowMs()
                || twice
                || s.claims().size() > settings.claimsMost()
                || before == null && held.size() >= settings.membersMost()
                || !proofs.proved(s)) {
            refused++;
            return false;
        }
        held.put(s.from(), new Held(s, nowMs));
        spread.put(s.from(), 0);
        return true;
    }

    /** Drops what a member said: it is not of the group any more. */
    public void forget(String member) {
        held.remove(member);
        spread.remove(member);
    }

    /** Drops statements of which nothing holds any more. Their numbers are kept as long as a replay could pass for new. */
    public void expire(double nowMs) {
        held.values().removeIf(h -> nowMs - h.atMs() > 2 * settings.windowMs());
        spread.keySet().retainAll(held.keySet());
    }

    /** Statements for one message; each goes out so many times. */
    public List<Statement> take(int times) {
        List<String> order = new ArrayList<>(spread.keySet());
        order.sort((a, b) -> Integer.compare(spread.get(a), spread.get(b)));
        List<Statement> result = new ArrayList<>();
        for (String from : order.subList(0, Math.min(settings.perMessage(), order.size()))) {
            result.add(held.get(from).statement());
            if (spread.merge(from, 1, Integer::sum) >= times) {
                spread.remove(from);
            }
        }
        return result;
    }

    /** Whether something is to be spread. */
    public boolean spreads() {
        return !spread.isEmpty();
    }
}
