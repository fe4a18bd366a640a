/** Connections of viewers' fronts: their bounds, the parsing of set-ups, and the answers. */
package calicovale.manager.viewers;
