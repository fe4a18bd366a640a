/**
 * Connects session controllers to the bench: translates the bench's lines of text to events and the controllers'
 * actions to lines of text. All decisions are the controllers'.
 */
package calicovale.adapter;
