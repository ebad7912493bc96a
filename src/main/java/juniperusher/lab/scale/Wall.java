package juniperusher.lab.scale;

import java.util.List;
import java.util.Locale;

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
    /** The size as a share of the target. */
    public double share() {
        return size / target;
    }

    /** Of a budget that is spent in proportion to the sum of some slopes. */
    static Wall of(Plan plan, List<LinearFit> fits) {
        double perOne = fits.stream().mapToDouble(LinearFit::slope).sum() * plan.factor();
        double base =
                Math.max(0, fits.stream().mapToDouble(LinearFit::intercept).sum()) * plan.factor();
        double size = Math.max(0, plan.budget() - base) / perOne;
        return new Wall(
                plan.resource(),
                plan.unit(),
                plan.budget(),
                size,
                plan.target(),
                base + perOne * plan.target(),
                plan.after(),
                plan.after() > 0 ? base + perOne * plan.after() : Double.NaN,
                plan.mechanism(),
                plan.state(),
                String.join(" + ", plan.slopes()));
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
