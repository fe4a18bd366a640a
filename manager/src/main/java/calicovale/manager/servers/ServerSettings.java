package calicovale.manager.servers;

/**
 * The bounds and times of the links to video servers.
 *
 * @param mostLinks links of all servers together
 * @param connectMs for a link to stand
 * @param idleMs idle links are closed here, before the servers close them
 * @param quietMs a server where sessions stand and that says nothing for so long is looked at: it tells of its link at times
 */
public record ServerSettings(int mostLinks, double connectMs, double idleMs, double quietMs) {}
