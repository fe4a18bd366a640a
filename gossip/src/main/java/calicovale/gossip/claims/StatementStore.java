package calicovale.gossip.claims;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The latest statement of each member, including this one, and the queue of those still to be disseminated. A statement
 * is stored only once its proof was verified, so that a relaying member can neither change a statement nor pass off an
 * old one as new.
 */
public final class StatementStore {
    /** Least change of a claim's strength for which a new statement is made before the refresh interval is over. */
    private static final double MIN_STRENGTH_CHANGE = 0.25;

    /** A statement and the time of its receipt, in ms of the local clock. */
    public record StoredStatement(Statement statement, double receivedMs) {}

    private final ClaimSettings settings;
    private final String self;
    private final StatementProofs proofs;
    private final Map<String, StoredStatement> statements = new LinkedHashMap<>();
    private final Map<String, Integer> transmissions = new LinkedHashMap<>();
    private long rejected;

    /** Creates the store of one member; {@code self} is its id. */
    public StatementStore(ClaimSettings settings, String self, StatementProofs proofs) {
        this.settings = settings;
        this.self = self;
        this.proofs = proofs;
    }

    /**
     * Returns the number of rejected statements: invalid proof, a version outside the clock skew, too many claims, two
     * claims on one box, or too many members.
     */
    public long rejected() {
        return rejected;
    }

    /** Returns all stored statements. */
    public Collection<StoredStatement> statements() {
        return List.copyOf(statements.values());
    }

    /**
     * Updates this member's own statement. A new one is made if the claims changed or the refresh interval is over.
     *
     * @param wallMs wall clock in ms since 1970, from which the statement's version is made
     */
    public void updateOwn(double nowMs, double wallMs, List<Claim> claims) {
        StoredStatement last = statements.get(self);
        List<Claim> before = last == null ? List.of() : last.statement().claims();
        if (claims.isEmpty() && before.isEmpty()) {
            return;
        }
        if (sameClaims(before, claims) && nowMs - last.receivedMs() < settings.refreshIntervalMs()) {
            return;
        }
        long version =
                Math.max((long) wallMs, last == null ? 0 : last.statement().version() + 1);
        Statement statement = new Statement(self, version, List.copyOf(claims), new byte[0]);
        statement = new Statement(self, version, statement.claims(), proofs.prove(statement));
        statements.put(self, new StoredStatement(statement, nowMs));
        transmissions.put(self, 0);
    }

    /**
     * Returns whether both lists make the same claims on the same boxes, apart from ages and from differences in
     * strength below {@link #MIN_STRENGTH_CHANGE}.
     */
    private static boolean sameClaims(List<Claim> first, List<Claim> second) {
        if (first.size() != second.size()) {
            return false;
        }
        for (Claim claim : first) {
            if (second.stream()
                    .noneMatch(other -> other.box() == claim.box()
                            && Objects.equals(other.kind(), claim.kind())
                            && Math.abs(other.strength() - claim.strength()) < MIN_STRENGTH_CHANGE)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Stores a received statement, regardless of which member relayed it; returns false if it is not newer than the
     * stored one or is rejected.
     */
    public boolean accept(double nowMs, double wallMs, Statement statement) {
        StoredStatement before = statements.get(statement.reporter());
        if (statement.reporter().equals(self)
                || before != null && statement.version() <= before.statement().version()) {
            return false;
        }
        boolean duplicateBox =
                statement.claims().stream().map(Claim::box).distinct().count()
                        < statement.claims().size();
        if (Math.abs(statement.version() - wallMs) > settings.maxClockSkewMs()
                || duplicateBox
                || statement.claims().size() > settings.maxClaimsPerStatement()
                || before == null && statements.size() >= settings.maxMembers()
                || !proofs.verify(statement)) {
            rejected++;
            return false;
        }
        statements.put(statement.reporter(), new StoredStatement(statement, nowMs));
        transmissions.put(statement.reporter(), 0);
        return true;
    }

    /** Removes the statement of a member that has left the group. */
    public void remove(String member) {
        statements.remove(member);
        transmissions.remove(member);
    }

    /**
     * Removes old statements. They are kept beyond the validity of their claims, for as long as a replayed statement
     * could pass for a new one.
     */
    public void expire(double nowMs) {
        statements.values().removeIf(stored -> nowMs - stored.receivedMs() > 2 * settings.maxClockSkewMs());
        transmissions.keySet().retainAll(statements.keySet());
    }

    /**
     * Returns the least-sent pending statements for one message. In all, each one is returned
     * {@code maxTransmissions} times.
     */
    public List<Statement> takeForMessage(int maxTransmissions) {
        List<String> leastSentFirst = new ArrayList<>(transmissions.keySet());
        leastSentFirst.sort((first, second) -> Integer.compare(transmissions.get(first), transmissions.get(second)));
        List<Statement> result = new ArrayList<>();
        for (String reporter :
                leastSentFirst.subList(0, Math.min(settings.statementsPerMessage(), leastSentFirst.size()))) {
            result.add(statements.get(reporter).statement());
            if (transmissions.merge(reporter, 1, Integer::sum) >= maxTransmissions) {
                transmissions.remove(reporter);
            }
        }
        return result;
    }

    /** Returns whether a statement is still to be disseminated. */
    public boolean hasPending() {
        return !transmissions.isEmpty();
    }
}
