/**
 * The operators' endpoint and watched folder for programme changes. A change is added, listed or withdrawn; it is
 * written to disk before it takes effect. This package must not depend on sessions.
 */
package calicovale.front.operators;
