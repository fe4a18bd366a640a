package calicovale.gossip.wire;

import calicovale.protocols.keys.Ed25519;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns which keys may speak for which members: those that operators listed, or, where there is an operators' signing key, those
 * that it certified; never one that was revoked. A member may have several keys while one replaces another.
 */
public final class Roster {

    /** A key that may speak for a member from one time to another, ms since 1970. */
    public record Entry(String member, PublicKey key, double fromMs, double untilMs) {}

    private final String group;
    private final PublicKey authority;
    private final int most;
    private Map<Long, Entry> listed = Map.of();
    private Set<Long> revoked = Set.of();
    private final Map<Long, Entry> certified = new LinkedHashMap<>();

    /** Nobody is allowed yet; {@code authority} null: only listed keys count. */
    public Roster(String group, PublicKey authority, int most) {
        this.group = group;
        this.authority = authority;
        this.most = most;
    }

    /** The group's name, part of everything signed. */
    public String group() {
        return group;
    }

    /** What operators list now: keys by themselves, certificates, and revoked keys by their ids. */
    public void list(Collection<Entry> keys, Collection<Certificate> certificates, Set<Long> revokedIds) {
        Map<Long, Entry> next = new HashMap<>();
        if (authority == null) {
            keys.forEach(e -> next.put(Ed25519.keyId(Ed25519.rawPublicKey(e.key())), e));
        }
        listed = next;
        revoked = new HashSet<>(revokedIds);
        certified.keySet().removeAll(revoked);
        certificates.forEach(this::admit);
    }

    /** Takes a certificate; false if the operators did not sign it. */
    public boolean admit(Certificate c) {
        long id = Ed25519.keyId(c.key());
        if (authority == null || revoked.contains(id)) {
            return false;
        }
        Entry known = certified.get(id);
        if (known != null && known.member().equals(c.member()) && known.untilMs() >= c.untilMs()) {
            return true;
        }
        if (!c.signedBy(authority, group) || known == null && certified.size() >= most) {
            return false;
        }
        try {
            certified.put(id, new Entry(c.member(), Ed25519.publicKey(c.key()), c.fromMs(), c.untilMs()));
        } catch (IllegalArgumentException e) {
            return false;
        }
        return true;
    }

    /** Whether certificates count here. */
    public boolean certifies() {
        return authority != null;
    }

    /** Who speaks by a key now, or null. */
    public Entry of(long keyId, double wallMs) {
        Entry e = revoked.contains(keyId) ? null : authority == null ? listed.get(keyId) : certified.get(keyId);
        return e != null && wallMs >= e.fromMs() && wallMs < e.untilMs() ? e : null;
    }

    /** All members that have a key now. */
    public List<String> members(double wallMs) {
        List<String> result = new ArrayList<>();
        for (long id : (authority == null ? listed : certified).keySet()) {
            Entry e = of(id, wallMs);
            if (e != null && !result.contains(e.member())) {
                result.add(e.member());
            }
        }
        return result;
    }
}
