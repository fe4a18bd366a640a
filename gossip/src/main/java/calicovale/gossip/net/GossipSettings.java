package calicovale.gossip.net;

import calicovale.gossip.claims.ClaimSettings;
import calicovale.gossip.member.MemberSettings;
import calicovale.gossip.wire.WireLimits;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.keys.Ed25519;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.List;

/**
 * One member's settings, checked whole.
 *
 * @param group name of the group, part of everything that is signed
 * @param member this member's id
 * @param listen where it is reached, by datagrams and connections
 * @param seeds addresses by which it joins
 * @param keyFile its private key, read again when it changes
 * @param rosterFolder keys, certificates and revocations
 * @param authority the operators' key that certifies members, or null: keys in the folder count by themselves
 * @param rosterMs between two looks at folder and key
 * @param members figures of membership
 * @param claims figures of claims
 * @param wire bounds of messages
 * @param connections connections open at once, each way
 * @param connectionMs after which a connection is given up
 */
public record GossipSettings(
        String group,
        String member,
        InetSocketAddress listen,
        List<String> seeds,
        Path keyFile,
        Path rosterFolder,
        PublicKey authority,
        double rosterMs,
        MemberSettings members,
        ClaimSettings claims,
        WireLimits wire,
        int connections,
        double connectionMs) {

    /** Checks a document whole; {@code name} leads each fault. */
    public static GossipSettings parse(String name, JsonNode document) throws InvalidDocumentException {
        JsonNode n = Documents.check(name, document.toString(), GossipSettings.class, "gossip.schema.json");
        List<String> faults = new ArrayList<>();
        MemberSettings d = MemberSettings.LAN;
        MemberSettings members = new MemberSettings(
                num(n, "probeMs", d.probeMs()),
                num(n, "timeoutMs", d.timeoutMs()),
                n.path("indirect").asInt(d.indirect()),
                num(n, "suspicionMult", d.suspicionMult()),
                num(n, "suspicionMaxMult", d.suspicionMaxMult()),
                num(n, "retransmitMult", d.retransmitMult()),
                num(n, "newsMs", d.newsMs()),
                n.path("newsTo").asInt(d.newsTo()),
                num(n, "exchangeMs", d.exchangeMs()),
                n.path("healthMost").asInt(d.healthMost()),
                d.buddy(),
                n.path("updatesMost").asInt(d.updatesMost()),
                n.path("membersMost").asInt(d.membersMost()),
                n.path("falseAlarmsMost").asInt(d.falseAlarmsMost()),
                num(n, "deadKeptMs", d.deadKeptMs()));
        if (members.timeoutMs() >= members.probeMs()) {
            faults.add(name + ": /timeoutMs: less than /probeMs is expected (" + members.probeMs() + ")");
        }
        PublicKey authority = null;
        try {
            authority =
                    n.has("authority") ? Ed25519.publicKey(n.get("authority").asText()) : null;
        } catch (IllegalArgumentException e) {
            faults.add(name + ": /authority: " + e.getMessage());
        }
        for (int i = 0; i < n.get("seeds").size(); i++) {
            String seed = n.get("seeds").get(i).asText();
            int port = Integer.parseInt(seed.substring(seed.indexOf(':') + 1));
            if (port < 1 || port > 65535) {
                faults.add(name + ": /seeds/" + i + ": a port from 1 to 65535 is expected");
            }
        }
        WireLimits w = WireLimits.DEFAULT;
        WireLimits wire = new WireLimits(
                n.path("datagramBytes").asInt(w.datagramBytes()),
                n.path("exchangeBytes").asInt(w.exchangeBytes()),
                4 * members.membersMost(),
                w.claimsMost(),
                num(n, "skewMs", w.skewMs()),
                members.membersMost(),
                num(n, "perPeer", w.perPeer()),
                num(n, "strangers", w.strangers()));
        JsonNode c = n.path("claims");
        ClaimSettings k = ClaimSettings.LAN;
        ClaimSettings claims = new ClaimSettings(
                c.path("claimsMost").asInt(k.claimsMost()),
                members.membersMost(),
                num(c, "lastsMs", k.lastsMs()),
                num(c, "refreshMs", k.refreshMs()),
                wire.skewMs(),
                k.perMessage(),
                num(c, "seenMs", k.seenMs()),
                num(c, "leastStrength", k.leastStrength()),
                num(c, "shortShare", k.shortShare()),
                c.path("quorumLeast").asInt(k.quorumLeast()),
                num(c, "quorumPart", k.quorumPart()),
                num(c, "ownMs", k.ownMs()),
                num(c, "believedMs", k.believedMs()));
        if (claims.refreshMs() >= claims.lastsMs()) {
            faults.add(name + ": /claims/refreshMs: less than /claims/lastsMs is expected (" + claims.lastsMs() + ")");
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(faults);
        }
        List<String> seeds = new ArrayList<>();
        n.get("seeds").forEach(seed -> seeds.add(seed.asText()));
        JsonNode at = n.get("listen");
        return new GossipSettings(
                n.get("group").asText(),
                n.get("member").asText(),
                new InetSocketAddress(at.get("host").asText(), at.get("port").asInt()),
                List.copyOf(seeds),
                Path.of(n.get("keyFile").asText()),
                Path.of(n.get("rosterFolder").asText()),
                authority,
                num(n, "rosterMs", 5000),
                members,
                claims,
                wire,
                n.path("connections").asInt(64),
                num(n, "connectionMs", 2000));
    }

    private static double num(JsonNode n, String key, double absent) {
        return n.path(key).asDouble(absent);
    }
}
