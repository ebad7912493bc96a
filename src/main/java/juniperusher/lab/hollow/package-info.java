/**
 * The hollow fleet: thousands of relays without a data path, each with the true subscription of {@code fleet} on real
 * loopback sockets, in a few processes, among control processes; faults by script; and what it all costs against the
 * budgets of an experiment file. The door is {@link juniperusher.lab.hollow.HollowFleet}.
 *
 * <p>Must not know: fronts, the decision module, the command line. It ends only the processes that it started, and
 * these end by themselves once their standard input does.
 */
package juniperusher.lab.hollow;
