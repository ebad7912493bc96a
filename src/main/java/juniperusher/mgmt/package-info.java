/**
 * The operators' listener ({@code mgmt}): HTTP/1.1, one call a connection, on the same selector as the fronts
 * but bounded apart from the clients, so that no load of theirs delays an answer. Owns the calls' paths,
 * bodies and answers. The door is {@link juniperusher.mgmt.Management}; what a call does is the part of an
 * {@link juniperusher.mgmt.Operated}.
 *
 * <p>Must not know: the platform's front, AMQP, the module, the journal, discovery.
 */
package juniperusher.mgmt;
