/**
 * Client of the cloud API, and the machine types with their prices.
 *
 * <p>The package stays within the cloud's rate limit and does not decide what to rent or return. It
 * must not depend on which controller leads.
 */
package plumlever.cloud;
