package juniperusher.lab.scale;

/** The names of a slope. */
abstract class NamedSlope implements Slope {
    private final String name;
    private final String unit;
    private final String per;

    NamedSlope(String name, String unit, String per) {
        this.name = name;
        this.unit = unit;
        this.per = per;
    }

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final String unit() {
        return unit;
    }

    @Override
    public final String per() {
        return per;
    }
}
