package juniperusher.storm;

/**
 * Rate that a destination accepts as a function of time: constant, or rising linearly from a cold start. Immutable;
 * times are seconds of the rounds' clock.
 *
 * @param startsAt time at which the slow start begins
 * @param coldFraction fraction of the full rate at the start
 * @param warmUpSeconds duration of the slow start in seconds, 0 for a constant rate
 * @param fullRate full rate in calls per second
 */
record RateCurve(double startsAt, double coldFraction, double warmUpSeconds, double fullRate) {
    /** A constant rate in calls per second. */
    static RateCurve constant(double rate) {
        return new RateCurve(0, 1, 0, rate);
    }

    /** Accepted rate at the time, in calls per second. */
    double rateAt(double time) {
        if (time >= startsAt + warmUpSeconds || warmUpSeconds <= 0) {
            return fullRate;
        }
        return fullRate * (coldFraction + (1 - coldFraction) * Math.max(0, time - startsAt) / warmUpSeconds);
    }

    /** Number of calls accepted between two times: the integral of the rate. */
    double callsBetween(double start, double end) {
        double rampEnd = Math.min(Math.max(startsAt + warmUpSeconds, start), end);
        double rampStart = Math.min(Math.max(startsAt, start), rampEnd);
        return (rampStart - start) * rateAt(start)
                + (rampEnd - rampStart) * (rateAt(rampStart) + rampRateAt(rampEnd)) / 2
                + (end - rampEnd) * fullRate;
    }

    /** Rate on the ramp; unlike {@link #rateAt} it also continues to the full rate at the end of the ramp. */
    private double rampRateAt(double time) {
        return warmUpSeconds <= 0
                ? fullRate
                : fullRate
                        * (coldFraction
                                + (1 - coldFraction) * Math.min(1, Math.max(0, time - startsAt) / warmUpSeconds));
    }

    /** Time at which {@code calls} calls will be accepted since {@code time}, at most {@code maxSeconds} later. */
    double timeOfCalls(double time, double calls, double maxSeconds) {
        if (callsBetween(time, time + maxSeconds) <= calls) {
            return time + maxSeconds;
        }
        double low = 0;
        double high = maxSeconds;
        for (int i = 0; i < 40; i++) {
            double mid = (low + high) / 2;
            if (callsBetween(time, time + mid) < calls) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return time + high;
    }
}
