/** Decisions of a session controller: which server plays a session, and at which rung. */
package calicovale;
