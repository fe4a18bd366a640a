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
 * Validated settings of one member.
 *
 * @param group name of the group, part of everything that is signed
 * @param member id of this member
 * @param listen address for datagrams and connections
 * @param seeds addresses of members through which this one joins
 * @param keyFile file with the private key; read again periodically
 * @param rosterFolder folder with keys, certificates and revocations
 * @param authority the operators' key that certifies members, or null if keys in the folder are valid without being
 *     certified
 * @param rosterReadIntervalMs time between two readings of the roster folder and the key file
 * @param membership settings of the membership protocol
 * @param claims settings of claims
 * @param wireLimits bounds of messages
 * @param maxConnections largest number of open connections in each direction
 * @param connectionTimeoutMs time after which a connection is closed
 */
public record GossipSettings(
        String group,
        String member,
        InetSocketAddress listen,
        List<String> seeds,
        Path keyFile,
        Path rosterFolder,
        PublicKey authority,
        double rosterReadIntervalMs,
        MemberSettings membership,
        ClaimSettings claims,
        WireLimits wireLimits,
        int maxConnections,
        double connectionTimeoutMs) {
    private static final double DEFAULT_ROSTER_READ_INTERVAL_MS = 5000;
    private static final int DEFAULT_MAX_CONNECTIONS = 64;
    private static final double DEFAULT_CONNECTION_TIMEOUT_MS = 2000;

    /** Validates and parses a settings document; {@code name} precedes each reported error. */
    public static GossipSettings parse(String name, JsonNode document) throws InvalidDocumentException {
        JsonNode root = Documents.check(name, document.toString(), GossipSettings.class, "gossip.schema.json");
        List<String> errors = new ArrayList<>();
        MemberSettings memberDefaults = MemberSettings.LAN;
        MemberSettings membership = new MemberSettings(
                numberOr(root, "probeMs", memberDefaults.probeIntervalMs()),
                numberOr(root, "timeoutMs", memberDefaults.probeTimeoutMs()),
                root.path("indirect").asInt(memberDefaults.indirectProbes()),
                numberOr(root, "suspicionMult", memberDefaults.suspicionMultiplier()),
                numberOr(root, "suspicionMaxMult", memberDefaults.maxSuspicionTimeoutMultiplier()),
                numberOr(root, "retransmitMult", memberDefaults.retransmitMultiplier()),
                numberOr(root, "newsMs", memberDefaults.disseminationIntervalMs()),
                root.path("newsTo").asInt(memberDefaults.disseminationFanout()),
                numberOr(root, "exchangeMs", memberDefaults.antiEntropyIntervalMs()),
                root.path("healthMost").asInt(memberDefaults.maxHealthMultiplier()),
                memberDefaults.buddySystem(),
                root.path("updatesMost").asInt(memberDefaults.maxUpdatesPerMessage()),
                root.path("membersMost").asInt(memberDefaults.maxMembers()),
                root.path("falseAlarmsMost").asInt(memberDefaults.maxFalseSuspicions()),
                numberOr(root, "deadKeptMs", memberDefaults.deadRetentionMs()));
        if (membership.probeTimeoutMs() >= membership.probeIntervalMs()) {
            errors.add(name + ": /timeoutMs: less than /probeMs is expected (" + membership.probeIntervalMs() + ")");
        }
        PublicKey authority = null;
        try {
            authority = root.has("authority")
                    ? Ed25519.publicKey(root.get("authority").asText())
                    : null;
        } catch (IllegalArgumentException e) {
            errors.add(name + ": /authority: " + e.getMessage());
        }
        for (int i = 0; i < root.get("seeds").size(); i++) {
            String seed = root.get("seeds").get(i).asText();
            int port = Integer.parseInt(seed.substring(seed.indexOf(':') + 1));
            if (port < 1 || port > 65535) {
                errors.add(name + ": /seeds/" + i + ": a port from 1 to 65535 is expected");
            }
        }
        WireLimits wireDefaults = WireLimits.DEFAULT;
        WireLimits wireLimits = new WireLimits(
                root.path("datagramBytes").asInt(wireDefaults.maxDatagramBytes()),
                root.path("exchangeBytes").asInt(wireDefaults.maxFrameBytes()),
                4 * membership.maxMembers(),
                wireDefaults.maxClaims(),
                numberOr(root, "skewMs", wireDefaults.maxClockSkewMs()),
                membership.maxMembers(),
                numberOr(root, "perPeer", wireDefaults.knownSourceRatePerS()),
                numberOr(root, "strangers", wireDefaults.unknownSourceRatePerS()));
        JsonNode claimsNode = root.path("claims");
        ClaimSettings claimDefaults = ClaimSettings.LAN;
        ClaimSettings claims = new ClaimSettings(
                claimsNode.path("claimsMost").asInt(claimDefaults.maxClaimsPerStatement()),
                membership.maxMembers(),
                numberOr(claimsNode, "lastsMs", claimDefaults.claimValidityMs()),
                numberOr(claimsNode, "refreshMs", claimDefaults.refreshIntervalMs()),
                wireLimits.maxClockSkewMs(),
                claimDefaults.statementsPerMessage(),
                numberOr(claimsNode, "seenMs", claimDefaults.outcomeWindowMs()),
                numberOr(claimsNode, "leastStrength", claimDefaults.minStrength()),
                numberOr(claimsNode, "shortShare", claimDefaults.shortDeliveryShare()),
                claimsNode.path("quorumLeast").asInt(claimDefaults.minQuorum()),
                numberOr(claimsNode, "quorumPart", claimDefaults.quorumFraction()),
                numberOr(claimsNode, "ownMs", claimDefaults.ownSuccessPriorityMs()),
                numberOr(claimsNode, "believedMs", claimDefaults.evaluationIntervalMs()));
        if (claims.refreshIntervalMs() >= claims.claimValidityMs()) {
            errors.add(name + ": /claims/refreshMs: less than /claims/lastsMs is expected (" + claims.claimValidityMs()
                    + ")");
        }
        if (!errors.isEmpty()) {
            throw new InvalidDocumentException(errors);
        }
        List<String> seeds = new ArrayList<>();
        root.get("seeds").forEach(seed -> seeds.add(seed.asText()));
        JsonNode listenNode = root.get("listen");
        return new GossipSettings(
                root.get("group").asText(),
                root.get("member").asText(),
                new InetSocketAddress(
                        listenNode.get("host").asText(), listenNode.get("port").asInt()),
                List.copyOf(seeds),
                Path.of(root.get("keyFile").asText()),
                Path.of(root.get("rosterFolder").asText()),
                authority,
                numberOr(root, "rosterMs", DEFAULT_ROSTER_READ_INTERVAL_MS),
                membership,
                claims,
                wireLimits,
                root.path("connections").asInt(DEFAULT_MAX_CONNECTIONS),
                numberOr(root, "connectionMs", DEFAULT_CONNECTION_TIMEOUT_MS));
    }

    private static double numberOr(JsonNode node, String key, double defaultValue) {
        return node.path(key).asDouble(defaultValue);
    }
}
