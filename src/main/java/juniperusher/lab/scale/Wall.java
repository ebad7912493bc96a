package juniperusher.lab.scale;

import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.analysis.UnivariateFunction;
import org.apache.commons.math3.analysis.solvers.BisectionSolver;

/**
 * A budget of one relay and the size at which today's design passes it.
 *
 * @param resource  what is spent
 * @param budget    how much of it there is, in {@code unit}
 * @param size      the size at which the budget is spent, by the slopes or by a constant of the program
 * @param target    the size that is expected
 * @param needed    what the design takes at the target, in {@code unit}; not a number for a constant
 * @param after     the size that remains with the mechanism, 0 if it leaves the size as it is
 * @param neededAfter what that takes, in {@code unit}
 * @param mechanism what carries the target
 * @param state     built, missing or planned
 * @param from      the slopes, or the constant's place in the program
 */
public record Wall(
        String resource,
        String unit,
        double budget,
        double size,
        double target,
        double needed,
        double after,
        double neededAfter,
        String mechanism,
        String state,
        String from) {
    private static final double MOST_SIZE = 1e12; // a wall beyond it is none
    private static final double RELATIVE = 1e-9; // accuracy of the size
    private static final int MOST_STEPS = 200;

    /** The size as a share of the target. */
    public double share() {
        return size / target;
    }

    /** Of a budget that is spent by the sum of some costs. */
    static Wall of(Plan plan, List<? extends UnivariateFunction> costs) {
        UnivariateFunction sum = size -> plan.factor()
                * costs.stream().mapToDouble(cost -> cost.value(size)).sum();
        return new Wall(
                plan.resource(),
                plan.unit(),
                plan.budget(),
                sizeAt(plan.budget(), sum),
                plan.target(),
                sum.value(plan.target()),
                plan.after(),
                plan.after() > 0 ? sum.value(plan.after()) : Double.NaN,
                plan.mechanism(),
                plan.state(),
                String.join(" + ", plan.slopes()));
    }

    private static double sizeAt(double budget, UnivariateFunction cost) {
        if (cost.value(0) >= budget) {
            return 0;
        }
        if (cost.value(MOST_SIZE) <= budget) {
            return MOST_SIZE;
        }
        return new BisectionSolver(RELATIVE, RELATIVE)
                .solve(MOST_STEPS, size -> cost.value(size) - budget, 0, MOST_SIZE);
    }

    /** Of a constant of the program. */
    static Wall constant(Plan plan) {
        return new Wall(
                plan.resource(),
                plan.unit(),
                plan.limit(),
                plan.limit(),
                plan.target(),
                plan.target(),
                plan.after(),
                plan.after() > 0 ? plan.after() : Double.NaN,
                plan.mechanism(),
                plan.state(),
                plan.place());
    }

    /** One line of the table. */
    String line() {
        return String.format(
                Locale.ROOT,
                "%9.4f%%  %-58s size %9.4g of %9.4g, budget %9.4g %s, needed %9.4g%s; %s (%s)",
                share() * 100,
                resource,
                size,
                target,
                budget,
                unit,
                needed,
                after > 0 ? String.format(Locale.ROOT, ", after %.4g at %.4g", neededAfter, after) : "",
                mechanism,
                state);
    }

    /**
     * A wall as the experiment file has it.
     *
     * @param factor how often each cost is paid, times the conversion to {@code unit}
     * @param limit  the constant in place of slopes, or 0
     * @param place  where the program has that constant
     */
    record Plan(
            String resource,
            List<String> slopes,
            double factor,
            String unit,
            double budget,
            double limit,
            String place,
            double target,
            double after,
            String mechanism,
            String state) {}
}
