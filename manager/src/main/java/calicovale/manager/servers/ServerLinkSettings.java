package calicovale.manager.servers;

/**
 * Bounds and timeouts of the links to video servers.
 *
 * @param maxLinks upper bound of links to all servers together
 * @param connectTimeoutMs upper bound for opening a link, in ms
 * @param idleTimeoutMs idle time, in ms, after which a link is closed here, before the server closes it
 * @param silenceTimeoutMs time without messages, in ms, after which a server with playing sessions is checked by a
 *     new link; servers send notes on their link's use at shorter intervals
 */
public record ServerLinkSettings(
        int maxLinks, double connectTimeoutMs, double idleTimeoutMs, double silenceTimeoutMs) {}
