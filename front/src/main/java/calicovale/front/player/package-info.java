/**
 * Serves players over HTTP: session requests, responses and session playlists. It must not choose a box or rung, which
 * is left to the controller.
 */
package calicovale.front.player;
