package calicovale.gossip.claims;

import java.util.List;

/**
 * All that one member says of boxes now; a newer one replaces it whole, an empty one takes everything back. It is relayed, so
 * it carries the member's own proof.
 *
 * @param from the member
 * @param number grows from statement to statement of one member, over its lives too: ms of its clock
 * @param claims at most one for each box
 * @param proof that the member said so
 */
public record Statement(String from, long number, List<Claim> claims, byte[] proof) {}
