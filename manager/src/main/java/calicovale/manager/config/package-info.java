/** Parser of a manager's configuration file. */
package calicovale.manager.config;
