package calicovale.manager.servers;

import calicovale.manager.sessions.Session;
import calicovale.protocols.net.Timer;

/**
 * One attempt in progress: its session, its link (null: none was available), its start as a clock time in ms, and its
 * timeout (null without a link).
 */
final class Attempt {
    final Session session;
    final ServerLink link;
    final double sentAtMs;
    Timer timeout;

    Attempt(Session session, ServerLink link, double sentAtMs) {
        this.session = session;
        this.link = link;
        this.sentAtMs = sentAtMs;
    }
}
