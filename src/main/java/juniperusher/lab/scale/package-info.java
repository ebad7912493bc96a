/**
 * Measures how the costs of one relay grow with its load: each {@link juniperusher.lab.scale.Slope} is measured
 * at several sizes in one run and fitted by a straight line, and each {@link juniperusher.lab.scale.Wall} of the
 * experiment file says at which size a budget is spent. The door is
 * {@link juniperusher.lab.scale.ScaleExperiment}.
 *
 * <p>Owns the catalogue of slopes, the fit, the capacity table and their report. Runs in one process and on one
 * thread; opens no socket. Must not know: the command line, connections, the laboratory's engines.
 */
package juniperusher.lab.scale;
