/**
 * The HTTP/1.1 listener for operators ({@code mgmt}), with one call per connection. It shares the selector with the
 * fronts but has its own bound on connections, so that the load of clients does not delay it. This package defines
 * the paths, bodies and responses of the calls. The entry point is {@link juniperusher.mgmt.OperatorListener}; an
 * {@link juniperusher.mgmt.ManagedRelay} carries the calls out.
 *
 * <p>This package must not depend on the platform's front, AMQP, the decision module, the journal or discovery.
 */
package juniperusher.mgmt;
