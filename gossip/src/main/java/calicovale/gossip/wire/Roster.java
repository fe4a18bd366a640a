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
 * The keys that may sign for each member: those that the operators listed or, if the group has an operators' signing
 * key, those that it certified. Revoked keys are never valid. A member may have several keys, so that a new key can
 * replace an old one.
 */
public final class Roster {

    /** A key that may sign for a member from {@code fromMs} until {@code untilMs} (exclusive), in ms since 1970. */
    public record Entry(String member, PublicKey key, double fromMs, double untilMs) {}

    private final String group;
    private final PublicKey authority;
    private final int maxCertificates;
    private Map<Long, Entry> listed = Map.of();
    private Set<Long> revoked = Set.of();
    private final Map<Long, Entry> certified = new LinkedHashMap<>();

    /** Creates an empty roster; with {@code authority} null, listed keys are valid without a certificate. */
    public Roster(String group, PublicKey authority, int maxCertificates) {
        this.group = group;
        this.authority = authority;
        this.maxCertificates = maxCertificates;
    }

    /** Returns the group's name, which is part of everything that is signed. */
    public String group() {
        return group;
    }

    /** Replaces the operators' list: member keys, certificates, and the ids of revoked keys. */
    public void replaceListed(Collection<Entry> keys, Collection<Certificate> certificates, Set<Long> revokedIds) {
        Map<Long, Entry> next = new HashMap<>();
        if (authority == null) {
            keys.forEach(entry -> next.put(Ed25519.keyId(Ed25519.rawPublicKey(entry.key())), entry));
        }
        listed = next;
        revoked = new HashSet<>(revokedIds);
        certified.keySet().removeAll(revoked);
        certificates.forEach(this::admit);
    }

    /**
     * Adds a certificate; returns false if it is not signed by the operators, its key is revoked, or too many keys are
     * certified already.
     */
    public boolean admit(Certificate certificate) {
        long id = Ed25519.keyId(certificate.key());
        if (authority == null || revoked.contains(id)) {
            return false;
        }
        Entry known = certified.get(id);
        if (known != null && known.member().equals(certificate.member()) && known.untilMs() >= certificate.untilMs()) {
            return true;
        }
        if (!certificate.signedBy(authority, group) || known == null && certified.size() >= maxCertificates) {
            return false;
        }
        try {
            certified.put(
                    id,
                    new Entry(
                            certificate.member(),
                            Ed25519.publicKey(certificate.key()),
                            certificate.fromMs(),
                            certificate.untilMs()));
        } catch (IllegalArgumentException e) {
            return false;
        }
        return true;
    }

    /** Returns whether keys need a certificate of the operators. */
    public boolean usesCertificates() {
        return authority != null;
    }

    /** Returns the entry of a key that is valid at the time, or null. */
    public Entry find(long keyId, double wallMs) {
        Entry entry = revoked.contains(keyId) ? null : authority == null ? listed.get(keyId) : certified.get(keyId);
        return entry != null && wallMs >= entry.fromMs() && wallMs < entry.untilMs() ? entry : null;
    }

    /** Returns the ids of all members that have a valid key at the time. */
    public List<String> members(double wallMs) {
        List<String> result = new ArrayList<>();
        for (long id : (authority == null ? listed : certified).keySet()) {
            Entry entry = find(id, wallMs);
            if (entry != null && !result.contains(entry.member())) {
                result.add(entry.member());
            }
        }
        return result;
    }
}
