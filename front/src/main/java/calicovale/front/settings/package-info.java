/**
 * The session manager's settings: their schema, their validation, and the controller's settings derived from them.
 */
package calicovale.front.settings;
