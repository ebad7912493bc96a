package juniperusher.lab.report;

import java.io.IOException;
import java.util.Base64;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;

/** Pieces of pages that open without a network. */
public final class Html {
    private Html() {}

    /** The text with what HTML would read as marks written out. */
    public static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** The chart as an image within the page; nothing for a chart without series. */
    public static String image(XYChart chart) throws IOException {
        if (chart.getSeriesMap().isEmpty()) {
            return "";
        }
        return "<p><img alt=\"" + escaped(chart.getTitle()) + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
                + "\"></p>";
    }
}
