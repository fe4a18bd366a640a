package calicovale.manager.servers;

/**
 * The bounds and times of the links to video servers.
 *
 * @param maxLinks links of all servers together
 * @param connectTimeoutMs for a link to stand
 * @param idleTimeoutMs idle links are closed here, before the servers close them
 * @param silenceTimeoutMs a server where sessions stand and that says nothing for so long is looked at: it tells of its link at times
 */
public record ServerLinkSettings(
        int maxLinks, double connectTimeoutMs, double idleTimeoutMs, double silenceTimeoutMs) {}
