package juniperusher.lab.scale;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import juniperusher.lab.report.Html;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** One page with the slopes, their plots and the walls in it: nothing else has to be at hand to read it. */
public final class ScaleReport {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 260;
    private static final String STYLE = "body{font:15px sans-serif;max-width:1100px;margin:2em auto}"
            + "table{border-collapse:collapse}td,th{padding:2px 10px;border-bottom:1px solid #ccc;text-align:right}"
            + "td:first-child,th:first-child{text-align:left}.fails{color:#b00}img{max-width:100%}";

    private ScaleReport() {}

    /** Writes {@code report.html} into the folder. */
    public static void write(ScaleResults results, Path folder) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("report.html"), page(results));
    }

    private static String page(ScaleResults results) throws IOException {
        StringBuilder out = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(Html.escaped(results.title()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(Html.escaped(results.title()))
                .append("</h1><p>")
                .append(Html.escaped(ScaleResults.machine()))
                .append("</p>");
        slopes(results.slopes(), out);
        walls(results.walls(), out);
        for (SlopeResult slope : results.slopes()) {
            out.append("<h2>")
                    .append(Html.escaped(slope.name()))
                    .append("</h2>")
                    .append(plot(slope));
        }
        return out.append("</body></html>\n").toString();
    }

    private static void slopes(List<SlopeResult> slopes, StringBuilder out) {
        out.append("<h2>Slopes, with 95% intervals</h2><table><tr><th>slope</th><th>cost of each</th><th>+-</th>"
                + "<th>unit</th><th>r2</th><th>at size 0</th><th>per</th></tr>");
        for (SlopeResult slope : slopes) {
            out.append(slope.held() ? "<tr>" : "<tr class=\"fails\">");
            cells(
                    out,
                    slope.name(),
                    figure(slope.fit().slope()),
                    figure(slope.fit().error()),
                    slope.unit(),
                    String.format(Locale.ROOT, "%.4f", slope.fit().rSquared()),
                    figure(slope.fit().intercept()),
                    slope.per());
        }
        out.append("</table>");
    }

    private static void walls(List<Wall> walls, StringBuilder out) {
        if (walls.isEmpty()) {
            return;
        }
        out.append("<h2>Walls</h2><table><tr><th>resource</th><th>share of the target</th><th>size</th><th>target</th>"
                + "<th>budget</th><th>needed</th><th>after</th><th>needed then</th><th>unit</th><th>mechanism</th>"
                + "<th>state</th><th>from</th></tr>");
        for (Wall wall : walls) {
            out.append("<tr>");
            cells(
                    out,
                    wall.resource(),
                    String.format(Locale.ROOT, "%.4f%%", wall.share() * 100),
                    figure(wall.size()),
                    figure(wall.target()),
                    figure(wall.budget()),
                    figure(wall.needed()),
                    wall.after() > 0 ? figure(wall.after()) : "",
                    wall.after() > 0 ? figure(wall.neededAfter()) : "",
                    wall.unit(),
                    wall.mechanism(),
                    wall.state(),
                    wall.from());
        }
        out.append("</table>");
    }

    private static void cells(StringBuilder out, String... texts) {
        for (String text : texts) {
            out.append("<td>").append(Html.escaped(text)).append("</td>");
        }
        out.append("</tr>");
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }

    private static String plot(SlopeResult slope) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(slope.name())
                .xAxisTitle(slope.per())
                .yAxisTitle(slope.unit())
                .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE)
                .setSeriesColors(new Color[] {new Color(0xd62728), new Color(0x1f77b4)});
        double[] sizes =
                slope.points().stream().mapToDouble(LinearFit.Point::size).toArray();
        double[] costs =
                slope.points().stream().mapToDouble(LinearFit.Point::cost).toArray();
        double most =
                slope.points().stream().mapToDouble(LinearFit.Point::size).max().orElse(1);
        chart.addSeries("measured", sizes, costs)
                .setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter)
                .setMarker(SeriesMarkers.CIRCLE);
        LinearFit fit = slope.fit();
        chart.addSeries("fit", new double[] {0, most}, new double[] {
                    fit.intercept(), fit.intercept() + fit.slope() * most
                })
                .setMarker(SeriesMarkers.NONE);
        return Html.image(chart);
    }
}
