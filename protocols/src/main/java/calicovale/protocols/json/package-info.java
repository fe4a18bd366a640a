/**
 * Reads settings and other documents: JSON that is validated against a JSON Schema (2020-12). The package does not
 * depend on the meaning of the documents.
 */
package calicovale.protocols.json;
