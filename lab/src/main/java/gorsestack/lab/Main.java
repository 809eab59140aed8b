package gorsestack.lab;
/** . */
public final class Main {
    private Main() { }
    public static void main(String[] a) throws Exception {
        var c = org.jfree.chart.ChartFactory.createXYLineChart("t", "x", "y", new org.jfree.data.xy.XYSeriesCollection());
        var g = new org.jfree.svg.SVGGraphics2D(300, 200);
        c.draw(g, new java.awt.geom.Rectangle2D.Double(0, 0, 300, 200));
        System.out.println(g.getSVGElement().length());
    }
}
