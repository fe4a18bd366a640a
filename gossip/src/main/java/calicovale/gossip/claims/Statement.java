package calicovale.gossip.claims;

import java.util.List;

/**
 * All claims of one member at one time. A newer statement replaces the former as a whole, and an empty one withdraws
 * all claims. Because statements are relayed by others, each carries its author's proof.
 *
 * @param reporter id of the member that makes the statement
 * @param version increases with each statement of a member, also over its restarts: ms of its wall clock
 * @param claims at most one claim for each box
 * @param proof proof of the member, made by {@link StatementProofs}
 */
public record Statement(String reporter, long version, List<Claim> claims, byte[] proof) {}
