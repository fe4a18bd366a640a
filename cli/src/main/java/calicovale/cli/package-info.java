/**
 * The command line and the configuration of logs. This package must not depend on other modules more than it needs
 * to start them.
 */
package calicovale.cli;
